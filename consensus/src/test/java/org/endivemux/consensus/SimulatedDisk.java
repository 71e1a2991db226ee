package org.endivemux.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivemux.consensus.Effects.Persist;
import org.endivemux.model.DiskId;

/** Stores what a simulated member has synced. Confined to the simulation's thread. */
final class SimulatedDisk {
  final DiskId id;
  private HardState hardState = HardState.initial();
  private Snapshot snapshot = Snapshot.blank();
  private final List<LogEntry> entries = new ArrayList<>();

  SimulatedDisk(DiskId id) {
    this.id = id;
  }

  void write(Persist persist) {
    persist.snapshot().ifPresent(this::replace);
    persist.hardState().ifPresent(newer -> hardState = newer);
    persist
        .entries()
        .forEach(
            entry -> {
              entries.removeIf(old -> old.index() >= entry.index());
              entries.add(entry);
            });
  }

  private void replace(Snapshot newer) {
    boolean keepsTail =
        entries.stream().anyMatch(e -> e.index() == newer.index() && e.term() == newer.term());
    entries.removeIf(entry -> !keepsTail || entry.index() <= newer.index());
    snapshot = newer;
  }

  /** Returns whether a vote in a term is synced, or a later term that makes it irrelevant. */
  boolean holdsVote(long term, DiskId candidate) {
    boolean voted = hardState.term() == term && hardState.vote().equals(Optional.of(candidate));
    return voted || hardState.term() > term;
  }

  Recovered recover() {
    return new Recovered(id, hardState, snapshot, entries);
  }
}
