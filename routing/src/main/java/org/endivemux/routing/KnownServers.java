package org.endivemux.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Declaration;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.InFlightAt;
import org.endivemux.routing.SelectionPolicy.Candidate;

/**
 * Holds what one entry knows of the backend servers, and compares them for a job.
 *
 * <p>Invariant: a server that is no longer declared is kept until its last job has ended. Not
 * thread-safe: confined to its scheduler.
 */
final class KnownServers {
  private static final double STRAGGLER_RATIO = 3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double DEFAULT_FIRST_BYTE_MILLIS = 20;

  private final FailureDomain domain;
  private final Map<BackendServerId, ServerState> states = new TreeMap<>();
  private Declaration declaration = Declaration.empty();
  private double medianNanosPerToken;

  KnownServers(FailureDomain domain) {
    this.domain = domain;
  }

  /** Replaces the declared servers and the set of leaving ones. */
  void configure(Declaration newer, Predicate<BackendServerId> leaving) {
    declaration = newer;
    newer
        .backendServers()
        .forEach(
            server -> {
              ServerState state =
                  states.computeIfAbsent(server.id(), id -> new ServerState(server));
              state.declare(server);
              state.leaving = leaving.test(server.id());
            });
    states.values().forEach(state -> state.leaving |= isGone(state));
    states.values().removeIf(this::isDone);
  }

  private boolean isGone(ServerState state) {
    return !declaration.backendServers().contains(state.server);
  }

  private boolean isDone(ServerState state) {
    return state.leaving && state.own() == 0 && isGone(state);
  }

  /** Returns the servers that may take a job, whether they have capacity or not. */
  Stream<ServerState> serversOf(Job job) {
    return states.values().stream()
        .filter(state -> !state.leaving && state.server.serves().contains(job.route()));
  }

  /** Measures anew how fast servers usually are; {@link #candidate} compares with that. */
  void updateMedianSpeed() {
    List<Double> known =
        states.values().stream().flatMap(state -> state.nanosPerToken().stream()).sorted().toList();
    medianNanosPerToken = known.isEmpty() ? 0 : known.get((known.size() - 1) / 2);
  }

  /** Describes a server to the policy that selects one for a job. */
  Candidate candidate(Job job, ServerState state, long now) {
    double firstByteMillis =
        state
            .firstByteNanos()
            .map(nanos -> nanos / NANOS_PER_MILLI)
            .orElse(DEFAULT_FIRST_BYTE_MILLIS);
    return new Candidate(
        state.server,
        state.own(),
        state.total(now),
        state.capacity(),
        firstByteMillis,
        slowness(state),
        state.mayHoldPrefix(job.prefix()),
        state.server.failureDomain().equals(domain));
  }

  private double slowness(ServerState state) {
    double relative =
        state
            .nanosPerToken()
            .filter(nanos -> medianNanosPerToken > 0)
            .map(nanos -> nanos / medianNanosPerToken)
            .orElse(1.0);
    return relative > STRAGGLER_RATIO ? relative * relative : Math.max(1, relative);
  }

  /** Records the start of a job at a server. */
  void started(BackendServerId server, Job job, boolean isProtected) {
    states.get(server).started(job, isProtected);
  }

  /** Records the end of a job at a server. */
  void ended(
      BackendServerId server, boolean isProtected, Observation seen, long targetNanos, long now) {
    ServerState state = states.get(server);
    state.ended(isProtected, seen, targetNanos, now);
    if (isDone(state)) {
      states.remove(server);
    }
  }

  /** Replaces what another entry reports to have in flight at each server. */
  void peerDigest(String peer, List<InFlightAt> inFlight, long now) {
    Map<Integer, Integer> requests =
        inFlight.stream()
            .collect(Collectors.toMap(InFlightAt::server, InFlightAt::requests, Integer::sum));
    states
        .values()
        .forEach(
            state ->
                state.updatePeer(
                    peer, requests.getOrDefault(InFlightAt.tag(state.server.id()), 0), now));
  }

  /** Returns the requests that this entry has in flight at each server that has any. */
  List<InFlightAt> digest() {
    return states.values().stream()
        .filter(state -> state.own() > 0)
        .map(state -> new InFlightAt(InFlightAt.tag(state.server.id()), state.own(), 0))
        .toList();
  }
}
