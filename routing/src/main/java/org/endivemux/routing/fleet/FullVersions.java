package org.endivemux.routing.fleet;

import java.util.HashSet;
import java.util.Set;
import org.endivemux.model.gateway.SoftwareVersion;

/**
 * Remembers the versions whose servers had no room in one pass over a queue, so that no time is
 * spent on further jobs that only those may run.
 *
 * <p>Invariant: a job that avoids servers says nothing about others. Used for one pass, by the
 * scheduler's thread.
 */
final class FullVersions {
  private final Set<SoftwareVersion> full = new HashSet<>();

  /** Returns whether a job can't have room. */
  boolean covers(FleetJob job) {
    return job.version().filter(full::contains).isPresent();
  }

  /** Records that a job had no room. */
  void add(FleetJob job) {
    if (job.avoid().isEmpty()) {
      job.version().ifPresent(full::add);
    }
  }
}
