package org.endivemux.consensus;

import java.util.Optional;
import org.endivemux.model.DiskId;

/** Holds what a voter must remember over a restart. Immutable and thread-safe. */
public record HardState(long term, Optional<DiskId> vote) {
  /** Returns the state of a voter that never voted. */
  public static HardState initial() {
    return new HardState(0, Optional.empty());
  }
}
