package org.endivemux.consensus;

/** Tracks the replication progress of one other member. Confined to the core's thread. */
final class Progress {
  /** Index of the next entry to send. */
  long nextIndex;

  /** Last index known to be synced by the member. */
  long matchIndex;

  /** The leader's time at which it sent the latest message that was answered. */
  long answeredSentAt;

  /** The leader's time at which it last sent a message. */
  long lastSentAt;

  /** The leader's time before which no further snapshot is sent. */
  long snapshotBlockedUntil;

  Progress(long nextIndex, long answeredSentAt) {
    this.nextIndex = nextIndex;
    this.answeredSentAt = answeredSentAt;
    this.lastSentAt = Long.MIN_VALUE;
    this.snapshotBlockedUntil = Long.MIN_VALUE;
  }
}
