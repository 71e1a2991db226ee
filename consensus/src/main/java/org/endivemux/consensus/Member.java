package org.endivemux.consensus;

import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/** Identifies one member by VM and disk, with or without a vote. Immutable and thread-safe. */
public record Member(VmId vm, DiskId disk, boolean voter) {
  Member withVote() {
    return new Member(vm, disk, true);
  }
}
