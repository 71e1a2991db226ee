package org.endivemux.consensus;

import java.util.List;
import org.endivemux.model.DiskId;

/** Holds the content of a data folder at startup. Immutable and thread-safe. */
public record Recovered(
    DiskId disk, HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
  public Recovered {
    entries = List.copyOf(entries);
  }

  /** Returns the content of an empty data folder. */
  public static Recovered blank(DiskId disk) {
    return new Recovered(disk, HardState.initial(), Snapshot.blank(), List.of());
  }
}
