package org.endivemux.consensus;

/** Holds what a leader knows of one other member. Confined to the core's thread. */
final class Progress {
  /** Index of the next entry to send. */
  long next;

  /** Last index known to be synced there. */
  long match;

  /** The leader's clock when it sent the latest message that was answered. */
  long answeredSentAt;

  /** The leader's clock when it last sent anything. */
  long lastSentAt;

  /** The leader's clock before which no further snapshot is sent. */
  long snapshotBlockedUntil;

  Progress(long next, long answeredSentAt) {
    this.next = next;
    this.answeredSentAt = answeredSentAt;
    this.lastSentAt = Long.MIN_VALUE;
    this.snapshotBlockedUntil = Long.MIN_VALUE;
  }
}
