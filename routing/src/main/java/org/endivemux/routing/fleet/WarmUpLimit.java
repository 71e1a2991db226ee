package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.WarmUp;

/**
 * Limits the requests that all entries together send to a cold server, without communication.
 *
 * <p>Invariants: only the entries that rank highest for a cold server send to it, each at its part
 * of the rate and without a backlog; an entry without a list of entries sends it nothing; an entry
 * that saw a server fail sends it nothing until a list can show it to all others; an entry that
 * becomes a sender waits until the list of entries has reached the others; after the cold period
 * the entries, their rates and the slots grow to all within {@link #RAMP_NANOS}. Servers of a
 * service without a declared warm-up are not limited, except after an evacuation. Does no I/O and
 * reads no clock: monotonic nanoseconds are passed in. Not thread-safe.
 */
public final class WarmUpLimit {
  /** Time in which a server gets back to all of its slots after a cold period or evacuation. */
  public static final long RAMP_NANOS = 2_000_000_000L;

  /** Bounds the log lines when a whole domain turns cold at once. */
  private static final int MAX_DECISIONS = 64;

  private final EntryRanks ranks;
  private final Bounds bounds;
  private final Map<ServiceName, WarmUp> warmUps = new HashMap<>();
  private final Map<BackendServerId, ColdState> states = new HashMap<>();
  private final List<Decision> decisions = new ArrayList<>();
  private boolean hasList;

  /**
   * Limits the requests in any second to a cold server: {@code overage} times the declared rate
   * plus {@code slack}. Immutable and thread-safe.
   */
  public record Bounds(double overage, double slack) {}

  /** Lists why a server is treated as cold. */
  public enum Cause {
    LISTED,
    NEW,
    UNREACHABLE,
    REPORTED,
    EVACUATED
  }

  /**
   * Reports that a server is treated as cold from now on. Immutable and thread-safe.
   *
   * @param nanos for how long, unless a newer list tells otherwise
   */
  public record Decision(BackendServerId server, Cause cause, long nanos) {}

  /**
   * @param self this entry
   * @param liveEntries returns the list of live entries, empty as long as it is not known
   */
  public WarmUpLimit(VmId self, Supplier<List<EntryInfo>> liveEntries, Bounds bounds) {
    this.ranks = new EntryRanks(self, liveEntries);
    this.bounds = bounds;
  }

  /** Returns a limit for an entry that knows no other entry: cold servers get nothing. */
  static WarmUpLimit withoutEntries() {
    return new WarmUpLimit(new VmId("unknown"), List::of, new Bounds(1, 0));
  }

  /** Replaces the declared services. */
  void updateServices(List<ServiceSpec> declared) {
    warmUps.clear();
    declared.forEach(spec -> spec.warmUp().ifPresent(warmUp -> warmUps.put(spec.name(), warmUp)));
  }

  /**
   * Replaces the list of servers.
   *
   * @param trueMillis true time at {@code now}, in Unix milliseconds
   */
  void updateServers(Collection<GatewayServer> listed, long now, long trueMillis) {
    ranks.refresh(now);
    states.keySet().retainAll(listed.stream().map(GatewayServer::id).collect(Collectors.toSet()));
    listed.forEach(server -> updateServer(server, now, trueMillis));
    hasList |= !listed.isEmpty();
  }

  private void updateServer(GatewayServer server, long now, long trueMillis) {
    boolean isNew = !states.containsKey(server.id());
    ColdState state = states.computeIfAbsent(server.id(), id -> new ColdState(server));
    if (state.updateListing(server, now, trueMillis)) {
      decided(state, Cause.LISTED, now);
    } else if (isNew && hasList && server.coldUntilMillis() == 0) {
      state.suspect(now);
      decided(state, Cause.NEW, now);
    }
    if (state.updateRefusal(server, now, trueMillis)) {
      decided(state, Cause.REPORTED, now);
    }
  }

  /** Records the end of an attempt at a server. */
  void ended(BackendServerId server, AttemptResult end, long now) {
    if (end == AttemptResult.FAILED || end == AttemptResult.REFUSED) {
      failed(server, now);
    }
    if (end == AttemptResult.REFUSED) {
      Optional.ofNullable(states.get(server)).ifPresent(state -> state.refused(now));
    }
  }

  /** Returns the servers with a warm-up that lately refused connections of this entry. */
  List<BackendServerId> refusing(long now) {
    return states.values().stream()
        .filter(state -> warmUp(state).isPresent() && state.hasRefusedLately(now))
        .map(state -> state.server().id())
        .toList();
  }

  /** Records that a server accepted no connection or reset one. */
  private void failed(BackendServerId server, long now) {
    Optional.ofNullable(states.get(server))
        .ifPresent(
            state -> {
              boolean wasCold = isCold(state, now);
              state.suspectAfterFailure(now);
              if (!wasCold) {
                decided(state, Cause.UNREACHABLE, now);
              }
            });
  }

  /** Records that the servers of a failure domain may be used again. */
  void evacuationEnded(FailureDomain domain, long now) {
    states.values().stream()
        .filter(state -> state.server().failureDomain().equals(domain))
        .forEach(
            state -> {
              state.suspect(now);
              state.evacuationEnded(now);
              decided(state, Cause.EVACUATED, now);
            });
  }

  private void decided(ColdState state, Cause cause, long now) {
    warmUp(state)
        .filter(warmUp -> decisions.size() < MAX_DECISIONS)
        .ifPresent(
            warmUp ->
                decisions.add(
                    new Decision(state.server().id(), cause, state.coldEnd(warmUp) - now)));
  }

  /** Returns the decisions since the last call, at most a fixed number of them. */
  List<Decision> takeDecisions() {
    List<Decision> taken = List.copyOf(decisions);
    decisions.clear();
    return taken;
  }

  private Optional<WarmUp> warmUp(ColdState state) {
    return Optional.ofNullable(warmUps.get(state.server().service()));
  }

  private boolean isCold(ColdState state, long now) {
    return warmUp(state).filter(warmUp -> now < state.coldEnd(warmUp)).isPresent();
  }

  /** Returns the number of servers that are treated as cold. */
  int coldCount(long now) {
    return (int) states.values().stream().filter(state -> isCold(state, now)).count();
  }

  /** Returns whether the slots that may be used grow by time alone. */
  boolean isWarmingUp(long now) {
    return states.values().stream().anyMatch(state -> now < limitedUntil(state));
  }

  private long limitedUntil(ColdState state) {
    return RAMP_NANOS + warmUp(state).map(state::coldEnd).orElse(state.evacuatedUntil());
  }

  /** Returns how many of a server's slots this entry may use now. */
  int usableSlots(BackendServerId server, int slots, long now) {
    ColdState state = states.get(server);
    if (state == null || now >= limitedUntil(state)) {
      return slots;
    }
    ranks.refresh(now);
    return warmUp(state)
        .map(warmUp -> coldSlots(state, warmUp, slots, now))
        .orElseGet(() -> evacuatedSlots(state, slots, now));
  }

  /** Returns the slots of a server whose service has no warm-up, after an evacuation. */
  private int evacuatedSlots(ColdState state, int slots, long now) {
    long elapsed = now - state.evacuatedUntil();
    boolean takesPart =
        ranks.count() == 0 || state.rank().update(ranks, 1) <= progress(elapsed) * ranks.count();
    return takesPart ? SlotRamp.usableSlots(1, slots, elapsed, RAMP_NANOS) : 0;
  }

  private int coldSlots(ColdState state, WarmUp warmUp, int slots, long now) {
    if (ranks.count() == 0 || state.isFailureUnlisted(now)) {
      return 0;
    }
    double limit = warmUp.requestsPerSecond() * bounds.overage() + bounds.slack();
    ColdPace pace = ColdPace.of(warmUp, limit, ranks.count());
    long elapsed = Math.max(0, now - state.coldEnd(warmUp));
    double progress = progress(elapsed);
    int rank = state.rank().update(ranks, pace.senders());
    boolean takesPart =
        rank < pace.senders() ? state.rank().hasTakenOver(now) : rank < progress * ranks.count();
    if (!takesPart || now - state.sentAt() < pace.intervalNanos() * (1 - progress)) {
      return 0;
    }
    return isCold(state, now)
        ? slots
        : SlotRamp.usableSlots(
            (int) Math.max(1, pace.requestsPerSecond()), slots, elapsed, RAMP_NANOS);
  }

  private static double progress(long elapsed) {
    return (double) elapsed / RAMP_NANOS;
  }

  /** Returns whether the requests of this entry to a server have a limited rate now. */
  boolean isPaced(BackendServerId server, long now) {
    ColdState state = states.get(server);
    return state != null && warmUp(state).isPresent() && now < limitedUntil(state);
  }

  /** Records that a request is sent to a server. */
  void sent(BackendServerId server, long now) {
    Optional.ofNullable(states.get(server)).ifPresent(state -> state.sent(now));
  }
}
