package org.endivemux.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Collects what one step of the core wants done.
 *
 * <p>Order: {@link #messages} may be sent at once; {@link #persist} is synced, then {@link
 * #afterPersist} is sent and {@link ConsensusCore#persisted} called; {@link #installed} and {@link
 * #committed} are applied in that order. Filled by one core, read by one driver; not thread-safe.
 */
public final class Effects {
  private final List<Envelope> messages = new ArrayList<>();
  private final List<Envelope> afterPersist = new ArrayList<>();
  private final List<LogEntry> appended = new ArrayList<>();
  private final List<LogEntry> committed = new ArrayList<>();
  private Optional<HardState> hardState = Optional.empty();
  private Optional<Snapshot> savedSnapshot = Optional.empty();
  private Optional<Snapshot> installed = Optional.empty();

  void send(Envelope envelope) {
    messages.add(envelope);
  }

  void sendAfterPersist(Envelope envelope) {
    afterPersist.add(envelope);
  }

  void append(LogEntry entry) {
    appended.add(entry);
  }

  void commit(List<LogEntry> entries) {
    committed.addAll(entries);
  }

  void save(HardState state) {
    hardState = Optional.of(state);
  }

  void save(Snapshot snapshot) {
    savedSnapshot = Optional.of(snapshot);
  }

  void install(Snapshot snapshot) {
    savedSnapshot = Optional.of(snapshot);
    installed = Optional.of(snapshot);
  }

  /** Returns messages that depend on nothing. */
  public List<Envelope> messages() {
    return List.copyOf(messages);
  }

  /** Returns messages that may only leave once {@link #persist} is synced. */
  public List<Envelope> afterPersist() {
    return List.copyOf(afterPersist);
  }

  /** Returns what to sync, or empty when there is nothing. */
  public Optional<Persist> persist() {
    boolean nothing = hardState.isEmpty() && savedSnapshot.isEmpty() && appended.isEmpty();
    return nothing
        ? Optional.empty()
        : Optional.of(new Persist(hardState, savedSnapshot, List.copyOf(appended)));
  }

  /** Returns the snapshot that replaces the replicated state, if any. */
  public Optional<Snapshot> installed() {
    return installed;
  }

  /** Returns entries that are committed and not yet handed out, in order. */
  public List<LogEntry> committed() {
    return List.copyOf(committed);
  }

  /**
   * Holds what to sync: the snapshot first, then the hard state, then the entries, the first of
   * which cuts whatever the log holds from its index on. Immutable and thread-safe.
   */
  public record Persist(
      Optional<HardState> hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {}
}
