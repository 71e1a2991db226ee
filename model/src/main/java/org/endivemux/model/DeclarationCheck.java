package org.endivemux.model;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;

/**
 * Validates declarations and reports each error as a sentence.
 *
 * <p>Deterministic: equal declarations give equal lists. Stateless and thread-safe.
 */
public final class DeclarationCheck {
  private static final Pattern ADDRESS = Pattern.compile("[0-9a-fA-F.:\\[\\]]+:\\d{1,5}");
  private static final int MAX_CAPACITY = 100_000;

  private DeclarationCheck() {}

  /** Returns the errors in a stable order; empty when the declaration is valid. */
  public static List<String> errors(Declaration declaration) {
    Set<ClassName> classes =
        declaration.classes().stream().map(RequestClass::name).collect(Collectors.toSet());
    Set<String> routes = declaration.routes().stream().map(Route::name).collect(Collectors.toSet());
    return Stream.of(
            duplicates("organisation", declaration.organisations(), org -> org.id().value()),
            duplicates("class", declaration.classes(), requestClass -> requestClass.name().value()),
            duplicates("route", declaration.routes(), Route::name),
            duplicates(
                "backend server", declaration.backendServers(), server -> server.id().value()),
            declaration.organisations().stream()
                .filter(org -> org.share() < 1)
                .map(org -> "Organisation " + org.id() + " needs a share of 1 or more."),
            declaration.organisations().stream()
                .flatMap(org -> org.classes().stream())
                .filter(name -> !classes.contains(name))
                .map(name -> "An organisation names class " + name + "; declare it or remove it."),
            declaration.classes().stream().flatMap(DeclarationCheck::classErrors),
            floorErrors(declaration.classes()),
            declaration.routes().stream()
                .filter(route -> !classes.contains(route.requestClass()))
                .map(
                    route ->
                        "Route "
                            + route.name()
                            + " names class "
                            + route.requestClass()
                            + "; declare that class."),
            declaration.routes().stream()
                .filter(route -> route.type() == Route.Type.MODEL && !route.repeatable())
                .map(route -> "Model " + route.name() + " must be repeatable."),
            declaration.backendServers().stream()
                .flatMap(server -> backendServerErrors(server, routes)))
        .flatMap(Function.identity())
        .toList();
  }

  private static <T> Stream<String> duplicates(
      String kind, Collection<T> items, Function<T, String> name) {
    Set<String> seen = new HashSet<>();
    return items.stream()
        .map(name)
        .filter(value -> !seen.add(value))
        .map(value -> "The " + kind + " " + value + " is declared twice; remove one.");
  }

  private static Stream<String> classErrors(RequestClass requestClass) {
    String subject = "Class " + requestClass.name();
    return Stream.of(
            requestClass.tier() < 0 ? subject + " needs a tier of 0 or more." : "",
            requestClass.targetMillis() <= 0 ? subject + " needs targetMillis above 0." : "",
            requestClass.maxWaitMillis() <= 0 ? subject + " needs patienceMillis above 0." : "",
            requestClass.floorShare() < 0 || requestClass.floorShare() > 1
                ? subject + " needs a floorShare from 0 to 1."
                : "")
        .filter(error -> !error.isEmpty());
  }

  private static Stream<String> floorErrors(Collection<RequestClass> classes) {
    double sum = classes.stream().mapToDouble(RequestClass::floorShare).sum();
    return sum > 1
        ? Stream.of("The floorShares of all classes add up to more than 1; lower them.")
        : Stream.empty();
  }

  private static Stream<String> backendServerErrors(BackendServer server, Set<String> routes) {
    String subject = "Backend server " + server.id();
    return Stream.concat(
        Stream.of(
                server.address() == null || !ADDRESS.matcher(server.address()).matches()
                    ? subject + " needs an address as IP number and port."
                    : "",
                server.failureDomain() == null ? subject + " needs a failureDomain." : "",
                server.capacity() < 1 || server.capacity() > MAX_CAPACITY
                    ? subject + " needs a room from 1 to " + MAX_CAPACITY + "."
                    : "",
                server.costPerHour() < 0 ? subject + " needs a costPerHour of 0 or more." : "")
            .filter(error -> !error.isEmpty()),
        server.serves().stream()
            .filter(name -> !routes.contains(name))
            .map(name -> subject + " serves " + name + "; declare a route of that name."));
  }
}
