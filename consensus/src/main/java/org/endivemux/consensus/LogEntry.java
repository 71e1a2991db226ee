package org.endivemux.consensus;

import java.util.Optional;
import org.endivemux.model.Bytes;

/**
 * Holds one entry of the replicated log.
 *
 * <p>Invariant: an entry with a membership has no command; an entry with neither marks the start of
 * a term. Immutable and thread-safe.
 */
public record LogEntry(long index, long term, Bytes command, Optional<Membership> membership) {
  static LogEntry ofCommand(long index, long term, Bytes command) {
    return new LogEntry(index, term, command, Optional.empty());
  }

  static LogEntry ofMembership(long index, long term, Membership membership) {
    return new LogEntry(index, term, Bytes.empty(), Optional.of(membership));
  }

  static LogEntry startOfTerm(long index, long term) {
    return new LogEntry(index, term, Bytes.empty(), Optional.empty());
  }

  /** Returns whether the entry carries a command for the replicated state. */
  public boolean hasCommand() {
    return command.size() > 0;
  }
}
