package org.endivemux.model.gateway;

import java.util.List;

/**
 * Holds streams that servers of one version have begun. Immutable and thread-safe.
 *
 * @param lifetimeMillis how long after its start a stream may be taken up
 */
public record StreamStarts(
    ServiceName service, SoftwareVersion version, long lifetimeMillis, List<StreamKey> streams) {
  public StreamStarts {
    streams = List.copyOf(streams);
  }
}
