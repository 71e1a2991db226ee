package org.endivemux.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Collects the actions that one step of the core requests from its driver.
 *
 * <p>Order: {@link #messages} may be sent at once; {@link #persist} must be synced before {@link
 * #afterPersist} is sent and {@link ConsensusCore#persisted} is called; {@link #installed} is
 * applied before {@link #committed}. Filled by one core, read by one driver; not thread-safe.
 */
public final class Effects {
  private final long step;
  private final List<Envelope> messages = new ArrayList<>();
  private final List<Envelope> afterPersist = new ArrayList<>();
  private final List<LogEntry> appended = new ArrayList<>();
  private final List<LogEntry> committed = new ArrayList<>();
  private final List<MembershipEvent> membershipEvents = new ArrayList<>();
  private Optional<HardState> hardState = Optional.empty();
  private Optional<Snapshot> savedSnapshot = Optional.empty();
  private Optional<Snapshot> installed = Optional.empty();

  Effects(long step) {
    this.step = step;
  }

  /**
   * Returns the number of the step, which grows from step to step; the driver passes it to {@link
   * ConsensusCore#persisted} once {@link #persist} is synced.
   */
  public long step() {
    return step;
  }

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

  void report(MembershipEvent event) {
    membershipEvents.add(event);
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

  /** Returns messages that may be sent at once. */
  public List<Envelope> messages() {
    return List.copyOf(messages);
  }

  /** Returns messages that may be sent only after {@link #persist} is synced. */
  public List<Envelope> afterPersist() {
    return List.copyOf(afterPersist);
  }

  /** Returns what to sync, or empty if there is nothing. */
  public Optional<Persist> persist() {
    return needsPersist()
        ? Optional.of(new Persist(hardState, savedSnapshot, List.copyOf(appended)))
        : Optional.empty();
  }

  /** Returns whether there is something to sync. */
  public boolean needsPersist() {
    return hardState.isPresent() || savedSnapshot.isPresent() || !appended.isEmpty();
  }

  /** Returns the snapshot that replaces the replicated state, if any. */
  public Optional<Snapshot> installed() {
    return installed;
  }

  /** Returns the newly committed entries, in log order. */
  public List<LogEntry> committed() {
    return List.copyOf(committed);
  }

  /** Returns what this leader decided about the membership, in order; nothing depends on it. */
  public List<MembershipEvent> membershipEvents() {
    return List.copyOf(membershipEvents);
  }

  /**
   * Holds what to sync: first the snapshot, then the hard state, then the entries. The first entry
   * replaces everything that the log holds from its index on. Immutable and thread-safe.
   */
  public record Persist(
      Optional<HardState> hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {}
}
