package org.endivemux.statechart;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * State chart that is read from a YAML resource.
 *
 * <p>Invariants: every state and event of the file is a constant of the two enums, and the initial
 * state is one of the states. Immutable and thread-safe.
 *
 * @param <S> states
 * @param <E> events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
  private static final YAMLMapper YAML =
      YAMLMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private final String name;
  private final S initial;
  private final Map<S, Map<E, S>> transitions;

  private StateChart(String name, S initial, Map<S, Map<E, S>> transitions) {
    this.name = name;
    this.initial = initial;
    this.transitions = transitions;
  }

  /** Reads a chart from the class path; throws {@link ChartException} if it is invalid. */
  public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
      String resource, Class<S> states, Class<E> events) {
    try (InputStream in = states.getResourceAsStream(resource)) {
      if (in == null) {
        throw new ChartException("The chart " + resource + " is not on the class path.");
      }
      return of(resource, YAML.readValue(in, ChartFile.class), states, events);
    } catch (IOException e) {
      throw new UncheckedIOException("The chart " + resource + " cannot be read.", e);
    }
  }

  private static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> of(
      String name, ChartFile file, Class<S> states, Class<E> events) {
    Map<S, Map<E, S>> transitions = new EnumMap<>(states);
    file.states()
        .forEach(
            (state, targetsByEvent) -> {
              Map<E, S> targets = new EnumMap<>(events);
              targetsByEvent.forEach(
                  (event, target) ->
                      targets.put(constant(name, events, event), constant(name, states, target)));
              transitions.put(constant(name, states, state), targets);
            });
    S initial = constant(name, states, file.initial());
    if (transitions.size() != states.getEnumConstants().length) {
      throw new ChartException("The chart " + name + " must list every state of " + states + ".");
    }
    return new StateChart<>(name, initial, transitions);
  }

  private static <T extends Enum<T>> T constant(String chart, Class<T> type, String text) {
    try {
      return Enum.valueOf(type, text);
    } catch (IllegalArgumentException e) {
      throw new ChartException(
          "The chart " + chart + " contains the unknown name " + text + ".", e);
    }
  }

  /** Returns the initial state. */
  public S initial() {
    return initial;
  }

  /** Returns the state after an event, or empty when the chart does not allow the event here. */
  public Optional<S> next(S state, E event) {
    return Optional.ofNullable(transitions.get(state).get(event));
  }

  /** Returns the state after an event; throws {@link ChartException} when it is not allowed. */
  public S require(S state, E event) {
    return next(state, event)
        .orElseThrow(
            () ->
                new ChartException(
                    "The chart " + name + " does not allow " + event + " in " + state + "."));
  }

  private record ChartFile(
      @JsonProperty("initial") String initial,
      @JsonProperty("states") Map<String, Map<String, String>> states) {}
}
