package org.endivemux.model.gateway;

import java.lang.reflect.RecordComponent;
import java.util.Arrays;
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
   * ({@code ~}, with the values that changed); routes are told apart by host and prefix, and of
   * keys only the number appears.
   */
  public static List<String> lines(GatewayConfig from, GatewayConfig to) {
    return Stream.of(
            ofParts("route", from.routes(), to.routes(), it -> it.host() + it.pathPrefix()),
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

  private static <T extends Record> Stream<String> ofParts(
      String kind, List<T> from, List<T> to, Function<T, String> name) {
    Map<String, T> before = byName(from, name);
    Map<String, T> after = byName(to, name);
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    return names.stream()
        .filter(it -> !Objects.equals(before.get(it), after.get(it)))
        .map(it -> line(kind + " " + it, before.get(it), after.get(it)));
  }

  private static <T extends Record> Map<String, T> byName(List<T> parts, Function<T, String> name) {
    return parts.stream()
        .collect(Collectors.toMap(name, part -> part, (first, second) -> first, TreeMap::new));
  }

  private static <T extends Record> String line(String part, T before, T after) {
    if (before == null) {
      return "+ " + part;
    }
    return after == null ? "- " + part : "~ " + part + ": " + changes(before, after);
  }

  private static <T extends Record> String changes(T before, T after) {
    return Arrays.stream(before.getClass().getRecordComponents())
        .filter(component -> !value(component, before).equals(value(component, after)))
        .map(component -> change(component, before, after))
        .collect(Collectors.joining(", "));
  }

  private static String change(RecordComponent component, Record before, Record after) {
    Object from = value(component, before);
    Object to = value(component, after);
    return component.getName()
        + (before instanceof OrganisationKeys && from instanceof List<?> oldKeys
            ? " (" + oldKeys.size() + " -> " + ((List<?>) to).size() + ")"
            : " " + from + " -> " + to);
  }

  private static Object value(RecordComponent component, Record part) {
    try {
      return component.getAccessor().invoke(part);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }
}
