package org.endivemux.model;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.endivemux.model.Declaration.Organisation;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;

/**
 * Looks up the parts of one declaration by their ids in constant time.
 *
 * <p>Built once for each configuration. Immutable and thread-safe.
 */
public final class DeclarationIndex {
  private final Declaration declaration;
  private final Map<OrganisationId, Organisation> organisations;
  private final Map<ClassName, RequestClass> classes;
  private final Map<String, Route> routes;

  public DeclarationIndex(Declaration declaration) {
    this.declaration = declaration;
    this.organisations = index(declaration.organisations(), Organisation::id);
    this.classes = index(declaration.classes(), RequestClass::name);
    this.routes = index(declaration.routes(), Route::name);
  }

  private static <K, V> Map<K, V> index(Collection<V> items, Function<V, K> id) {
    return items.stream()
        .collect(Collectors.toUnmodifiableMap(id, Function.identity(), (first, second) -> first));
  }

  /** Returns the whole declaration. */
  public Declaration declaration() {
    return declaration;
  }

  /** Returns the organisation with this id. */
  public Optional<Organisation> organisation(OrganisationId id) {
    return Optional.ofNullable(organisations.get(id));
  }

  /** Returns the class with this name. */
  public Optional<RequestClass> requestClass(ClassName name) {
    return Optional.ofNullable(classes.get(name));
  }

  /** Returns the route with this type and name. */
  public Optional<Route> route(Route.Type type, String name) {
    return Optional.ofNullable(routes.get(name)).filter(route -> route.type() == type);
  }

  /**
   * Returns the class of a request: the route's default class when none is requested; the requested
   * class when the organisation may use it, otherwise empty.
   */
  public Optional<RequestClass> classFor(
      OrganisationId organisation, Route route, Optional<String> requested) {
    if (requested.isEmpty()) {
      return requestClass(route.requestClass());
    }
    List<ClassName> allowed =
        organisation(organisation).map(Organisation::classes).orElse(List.of());
    return allowed.stream()
        .filter(name -> name.value().equals(requested.get()))
        .findFirst()
        .or(() -> Optional.of(route.requestClass()).filter(n -> n.value().equals(requested.get())))
        .flatMap(this::requestClass);
  }
}
