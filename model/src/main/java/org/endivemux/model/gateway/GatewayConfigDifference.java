package org.endivemux.model.gateway;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Lists what differs between two gateway configurations. Stateless and thread-safe. */
public final class GatewayConfigDifference {
  private GatewayConfigDifference() {}

  /**
   * Returns one line for each part that is added ({@code +}), removed ({@code -}) or changed
   * ({@code ~}); keys appear by their number only.
   */
  public static List<String> lines(GatewayConfig from, GatewayConfig to) {
    return Stream.of(
            ofParts("route", from.routes(), to.routes(), HostRoute::name),
            ofParts("service", from.services(), to.services(), it -> it.name().toString()),
            ofParts(
                "organisation",
                from.organisations(),
                to.organisations(),
                it -> it.organisation().toString()),
            ofParts("limits", List.of(from.limits()), List.of(to.limits()), limits -> "of callers"))
        .flatMap(lines -> lines)
        .toList();
  }

  private static <T> Stream<String> ofParts(
      String kind, List<T> from, List<T> to, Function<T, String> name) {
    Map<String, T> before = byName(from, name);
    Map<String, T> after = byName(to, name);
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    return names.stream()
        .filter(it -> !Objects.equals(before.get(it), after.get(it)))
        .map(it -> line(kind + " " + it, before.get(it), after.get(it)));
  }

  private static <T> Map<String, T> byName(List<T> parts, Function<T, String> name) {
    return parts.stream()
        .collect(Collectors.toMap(name, part -> part, (first, second) -> first, TreeMap::new));
  }

  private static <T> String line(String part, T before, T after) {
    if (before == null) {
      return "+ " + part + ": " + describe(after);
    }
    return after == null
        ? "- " + part
        : "~ " + part + ": " + describe(before) + " -> " + describe(after);
  }

  private static String describe(Object part) {
    return part instanceof OrganisationKeys organisation
        ? organisation.keys().size()
            + " keys, priority "
            + (organisation.priority().isPresent()
                ? organisation.priority().getAsInt()
                : "of the route")
        : part.toString();
  }
}
