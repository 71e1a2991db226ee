package org.endivemux.consensus;

import java.util.Optional;
import org.endivemux.model.DiskId;

/** Holds what a voter must persist across restarts. Immutable and thread-safe. */
public record HardState(long term, Optional<DiskId> vote) {
  /** Returns the state of a voter that has never voted. */
  public static HardState initial() {
    return new HardState(0, Optional.empty());
  }
}
