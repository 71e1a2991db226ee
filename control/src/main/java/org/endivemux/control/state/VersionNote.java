package org.endivemux.control.state;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamStarts;

/**
 * What a leader adds to the replicated {@link StreamVersions}. Immutable and thread-safe.
 *
 * @param atMillis true time at the leader, in Unix milliseconds
 * @param listed the versions of the listed servers of each service, when they have changed
 * @param starts streams that have begun
 * @param leaving true time in Unix milliseconds since which servers leave; none in notes of earlier
 *     builds
 */
public record VersionNote(
    long atMillis,
    Optional<Map<ServiceName, List<SoftwareVersion>>> listed,
    List<StreamStarts> starts,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<BackendServerId, Long> leaving) {
  public VersionNote {
    listed = listed.map(Map::copyOf);
    starts = List.copyOf(starts);
    leaving = leaving == null ? Map.of() : Map.copyOf(leaving);
  }

  /** Creates a note without servers that leave. */
  public VersionNote(
      long atMillis,
      Optional<Map<ServiceName, List<SoftwareVersion>>> listed,
      List<StreamStarts> starts) {
    this(atMillis, listed, starts, Map.of());
  }
}
