package org.endivemux.routing;

import java.util.Optional;
import java.util.stream.Stream;

/** Chooses among backend servers that have room for a job; a policy is one value of this type. */
@FunctionalInterface
public interface SelectionPolicy {
  /** Returns the chosen candidate, or empty when there is none. */
  Optional<Candidate> choose(Job job, Stream<Candidate> candidates);

  /**
   * Holds what a choice may look at. Immutable and thread-safe.
   *
   * @param own requests of this entry
   * @param total requests of all entries, as far as known
   * @param room learnt room
   * @param firstByteMillis learnt time to the first byte
   * @param slowness time for a token against the median of all; 1 when unknown
   * @param mayHoldPrefix whether the job's prefix may be cached there
   * @param sameDomain whether it is in the entry's failure domain
   */
  record Candidate(
      org.endivemux.model.Declaration.BackendServer server,
      int own,
      int total,
      double room,
      double firstByteMillis,
      double slowness,
      boolean mayHoldPrefix,
      boolean sameDomain) {}
}
