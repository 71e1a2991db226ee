package org.endivemux.control.state;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.Declaration;

/** Lists what a plan would change. Stateless and thread-safe. */
final class PlanDifference {
  private PlanDifference() {}

  /** Returns one line for each addition (+), removal (-) and change (~). */
  static List<String> lines(Declaration before, Declaration after) {
    Stream<String> budget =
        before.budgetPerHour() == after.budgetPerHour()
            ? Stream.empty()
            : Stream.of(
                "~ budgetPerHour: " + before.budgetPerHour() + " -> " + after.budgetPerHour());
    return Stream.of(
            budget,
            compare("organisation", before.organisations(), after.organisations(), o -> o.id()),
            compare("class", before.classes(), after.classes(), c -> c.name()),
            compare("route", before.routes(), after.routes(), r -> r.name()),
            compare("backend server", before.backendServers(), after.backendServers(), b -> b.id()))
        .flatMap(Function.identity())
        .toList();
  }

  private static <T> Stream<String> compare(
      String kind, List<T> before, List<T> after, Function<T, Object> name) {
    Map<String, T> beforeByName = byName(before, name);
    Map<String, T> afterByName = byName(after, name);
    Stream<String> removed =
        beforeByName.keySet().stream()
            .filter(key -> !afterByName.containsKey(key))
            .map(key -> "- " + kind + " " + key);
    Stream<String> added =
        afterByName.entrySet().stream()
            .filter(item -> !beforeByName.containsKey(item.getKey()))
            .map(item -> "+ " + kind + " " + item.getKey());
    Stream<String> changed =
        afterByName.entrySet().stream()
            .filter(item -> beforeByName.containsKey(item.getKey()))
            .filter(item -> !beforeByName.get(item.getKey()).equals(item.getValue()))
            .map(
                item ->
                    "~ " + kind + " " + beforeByName.get(item.getKey()) + " -> " + item.getValue());
    return Stream.of(removed, added, changed).flatMap(Function.identity());
  }

  private static <T> Map<String, T> byName(List<T> items, Function<T, Object> name) {
    return items.stream()
        .collect(
            Collectors.toMap(
                item -> name.apply(item).toString(),
                Function.identity(),
                (first, second) -> second,
                TreeMap::new));
  }
}
