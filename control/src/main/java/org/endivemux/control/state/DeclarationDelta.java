package org.endivemux.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.endivemux.model.Declaration;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.Declaration.Organisation;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;

/**
 * Difference between a declaration and its successor, so that a change to one organisation does not
 * send all organisations to every entry.
 *
 * <p>Invariant: applied to the declaration that it was computed from, it gives a declaration with
 * the same items as the successor, possibly in another order. Immutable and thread-safe.
 */
public record DeclarationDelta(
    Part<Organisation> organisations,
    Part<RequestClass> classes,
    Part<Route> routes,
    Part<BackendServer> backendServers,
    double budgetPerHour) {

  static DeclarationDelta between(Declaration before, Declaration after) {
    return new DeclarationDelta(
        Part.between(before.organisations(), after.organisations(), o -> o.id().value()),
        Part.between(before.classes(), after.classes(), c -> c.name().value()),
        Part.between(before.routes(), after.routes(), Route::name),
        Part.between(before.backendServers(), after.backendServers(), b -> b.id().value()),
        after.budgetPerHour());
  }

  Declaration applyTo(Declaration before) {
    return new Declaration(
        organisations.applyTo(before.organisations(), o -> o.id().value()),
        classes.applyTo(before.classes(), c -> c.name().value()),
        routes.applyTo(before.routes(), Route::name),
        backendServers.applyTo(before.backendServers(), b -> b.id().value()),
        budgetPerHour);
  }

  /** Removed ids, and the items that are new or changed. Immutable and thread-safe. */
  public record Part<T>(List<String> removed, List<T> changed) {
    public Part {
      removed = List.copyOf(removed);
      changed = List.copyOf(changed);
    }

    static <T> Part<T> between(List<T> before, List<T> after, Function<T, String> id) {
      Map<String, T> beforeById = byId(before, id);
      Map<String, T> afterById = byId(after, id);
      return new Part<>(
          beforeById.keySet().stream().filter(key -> !afterById.containsKey(key)).toList(),
          after.stream().filter(item -> !item.equals(beforeById.get(id.apply(item)))).toList());
    }

    List<T> applyTo(List<T> before, Function<T, String> id) {
      Map<String, T> items = byId(before, id);
      removed.forEach(items::remove);
      changed.forEach(item -> items.put(id.apply(item), item));
      return List.copyOf(items.values());
    }

    private static <T> Map<String, T> byId(List<T> items, Function<T, String> id) {
      return items.stream()
          .collect(
              Collectors.toMap(
                  id, Function.identity(), (first, second) -> second, LinkedHashMap::new));
    }
  }
}
