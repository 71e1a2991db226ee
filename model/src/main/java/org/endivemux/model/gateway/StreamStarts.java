package org.endivemux.model.gateway;

import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Holds streams that servers of one version have begun. Immutable and thread-safe.
 *
 * @param lifetimeMillis how long after its start a stream may be resumed
 */
public record StreamStarts(
    ServiceName service, SoftwareVersion version, long lifetimeMillis, List<StreamKey> streams) {
  public StreamStarts {
    streams = List.copyOf(streams);
  }

  /** Joins the streams that have service, version and lifetime in common. */
  public static List<StreamStarts> joined(Collection<StreamStarts> starts) {
    return starts.stream()
        .collect(Collectors.groupingBy(it -> it.withStreams(List.of())))
        .entrySet()
        .stream()
        .map(
            group ->
                group
                    .getKey()
                    .withStreams(
                        group.getValue().stream().flatMap(it -> it.streams().stream()).toList()))
        .toList();
  }

  private StreamStarts withStreams(List<StreamKey> newStreams) {
    return new StreamStarts(service, version, lifetimeMillis, newStreams);
  }
}
