package org.endivemux.consensus;

import org.endivemux.model.Bytes;

/** Holds the replicated state up to and including {@code index}. Immutable and thread-safe. */
public record Snapshot(long index, long term, Membership membership, Bytes state) {
  static Snapshot blank() {
    return new Snapshot(0, 0, Membership.none(), Bytes.empty());
  }
}
