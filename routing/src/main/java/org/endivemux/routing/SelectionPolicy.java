package org.endivemux.routing;

import java.util.Optional;
import java.util.stream.Stream;

/** Selects one of the backend servers that have free capacity for a job. */
@FunctionalInterface
public interface SelectionPolicy {
  /** Returns the chosen candidate, or empty when there is none. */
  Optional<Candidate> choose(Job job, Stream<Candidate> candidates);

  /**
   * Holds the inputs of a policy for one backend server. Immutable and thread-safe.
   *
   * @param own requests of this entry in flight
   * @param total requests of all entries in flight, as far as known
   * @param capacity learnt concurrency limit
   * @param firstByteMillis moving average of the time to the first byte
   * @param slowness penalty factor from the time per token relative to the median of all servers; 1
   *     when unknown
   * @param mayHoldPrefix whether the server may have cached the job's prefix
   * @param sameDomain whether the server is in the entry's failure domain
   */
  record Candidate(
      org.endivemux.model.Declaration.BackendServer server,
      int own,
      int total,
      double capacity,
      double firstByteMillis,
      double slowness,
      boolean mayHoldPrefix,
      boolean sameDomain) {}
}
