package org.endivemux.control.voter;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.endivemux.consensus.ConsensusCore.Status;
import org.endivemux.consensus.Member;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.Claim;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.ControlState;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.PartVerdicts;
import org.endivemux.routing.fleet.PartQuarantine;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Answers control requests on a voter.
 *
 * <p>Invariant: a reply that proves freshness or shows state is sent only while this voter holds
 * the leader's lease, which is checked after the state was read. Thread-safe.
 */
public final class ControlService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a poll waits for a change before it is answered. */
  private static final Duration LONG_POLL_WAIT = Duration.ofMillis(400);

  private static final Duration IN_FORCE_CHECK_INTERVAL = Duration.ofMillis(20);

  private final VmId self;
  private final ReplicatedState voter;
  private final EntryRegistry registry;
  private final Clocks clocks;
  private final ServerDirectory servers;
  private final WindowCounts counts;
  private final TrueTime time;
  private final FleetLoad loads;
  private final PartQuarantine quarantine;
  private final StreamRecorder streams;
  private final Sinks.Many<Boolean> changeSignal = Sinks.many().multicast().directBestEffort();

  public ControlService(
      VmId self,
      ReplicatedState voter,
      EntryRegistry registry,
      Clocks clocks,
      ServerDirectory servers,
      WindowCounts counts,
      TrueTime time,
      FleetLoad loads,
      PartQuarantine quarantine,
      StreamRecorder streams) {
    this.self = self;
    this.voter = voter;
    this.registry = registry;
    this.clocks = clocks;
    this.servers = servers;
    this.counts = counts;
    this.time = time;
    this.loads = loads;
    this.quarantine = quarantine;
    this.streams = streams;
    voter.onViewChanged(this::wakePolls);
  }

  /** Wakes the polls that wait for a change. */
  void wakePolls() {
    changeSignal.emitNext(true, (signal, result) -> result == Sinks.EmitResult.FAIL_NON_SERIALIZED);
  }

  /** Answers one request. */
  public Mono<ControlReply> handle(ControlRequest request) {
    if (!voter.holdsLease()) {
      return Mono.just(notLeader());
    }
    registry.startTerm(voter.status().term(), clocks.nanos());
    if (request instanceof ControlRequest.Submit it) {
      return submit(it.command()).doOnNext(reply -> logCommitted(it.command()));
    } else if (request instanceof ControlRequest.Poll it) {
      return poll(it);
    } else if (request instanceof ControlRequest.AwaitInForce it) {
      return awaitInForce(it);
    } else if (request instanceof ControlRequest.FindClaim it) {
      return read(state -> new ControlReply.ClaimFound(findClaim(state, it)));
    }
    if (request instanceof ControlRequest.FindStreamVersion it) {
      return read(state -> streams.find(state.streamVersions(), it));
    }
    if (request instanceof ControlRequest.ReadGatewayConfig) {
      return read(state -> new ControlReply.GatewayConfigFound(state.gatewayDocument()));
    }
    return read(this::report);
  }

  private static Optional<Claim> findClaim(ControlState state, ControlRequest.FindClaim request) {
    return state.claim(request.organisation(), request.key());
  }

  private ControlReply notLeader() {
    return new ControlReply.NotLeader(
        voter.status().leader().filter(vm -> !vm.equals(self)), voters());
  }

  private List<VmId> voters() {
    return voter.status().membership().members().stream()
        .filter(Member::voter)
        .map(Member::vm)
        .distinct()
        .toList();
  }

  private Mono<ControlReply> submit(Command command) {
    return mono(() -> voter.submit(command)).map(ControlReply.SubmitReply::new);
  }

  private void logCommitted(Command command) {
    if (command instanceof Command.PutGatewayConfig it) {
      long revision = voter.publishedRevision();
      logger.atInfo().log(
          "event=config_committed version=%d revision=%d behind=%s",
          it.version(), revision, registry.entriesBehind(revision, clocks.nanos()));
    } else if (command instanceof Command.StartEvacuation it) {
      logEvacuation(it.failureDomain(), true);
    } else if (command instanceof Command.EndEvacuation it) {
      logEvacuation(it.failureDomain(), false);
    }
  }

  private void logEvacuation(FailureDomain domain, boolean evacuated) {
    long revision = voter.publishedRevision();
    logger.atInfo().log(
        "event=evacuation_committed domain=%s evacuated=%s revision=%d behind=%s",
        domain, evacuated, revision, registry.entriesBehind(revision, clocks.nanos()));
  }

  private Mono<ControlReply> read(java.util.function.Function<ControlState, ControlReply> query) {
    return mono(() -> voter.read(query)).map(this::ifStillLeader);
  }

  private static <T> Mono<T> mono(Supplier<CompletableFuture<T>> future) {
    return Mono.fromFuture(future, true);
  }

  private ControlReply ifStillLeader(ControlReply reply) {
    return voter.holdsLease() ? reply : notLeader();
  }

  private Mono<ControlReply> poll(ControlRequest.Poll poll) {
    long now = clocks.nanos();
    long answeredAt = now - Duration.ofMillis(poll.unansweredMillis()).toNanos();
    Optional<Incarnation> replaced =
        registry.recordPoll(poll.entry(), poll.revision(), answeredAt, now);
    replaced.ifPresent(gone -> abandonClaims(poll.entry().vm(), gone));
    recordGatewayPoll(poll);
    return poll.usage().isEmpty()
        ? answerPoll(poll)
        : submit(recordUsage(poll)).then(read(state -> news(state, poll)));
  }

  /** The usage is committed before the reply acknowledges it, so no leader can lose it. */
  private static Command recordUsage(ControlRequest.Poll poll) {
    return new Command.RecordUsage(poll.entry().vm(), poll.entry().incarnation(), poll.usage());
  }

  private Mono<ControlReply> answerPoll(ControlRequest.Poll poll) {
    boolean upToDate =
        poll.revision() >= voter.publishedRevision()
            && poll.entriesNumber() == registry.listNumber()
            && poll.gateway().serversNumber() == servers.number(voter.status().term())
            && poll.gateway().crashes().verdictsNumber() == quarantine.number();
    Mono<ControlReply> reply = read(state -> news(state, poll));
    return upToDate
        ? changeSignal.asFlux().next().timeout(LONG_POLL_WAIT, Mono.just(true)).then(reply)
        : reply;
  }

  private void recordGatewayPoll(ControlRequest.Poll poll) {
    ControlRequest.GatewayPoll gateway = poll.gateway();
    if (gateway.wallMillis() > 0) {
      time.observed(poll.entry().vm(), gateway.wallMillis());
      counts.add(poll.entry(), gateway.counts(), time.millis());
      loads.add(poll.entry().vm(), gateway.loads(), gateway.inFlight(), clocks.nanos());
      recordCrashes(poll);
      streams.add(gateway.streams());
      if (servers.reportRefusing(voter.status().term(), gateway.refusing(), time.millis())) {
        logger.atInfo().log(
            "event=servers_refusing vm=%s servers=%s", poll.entry().vm(), gateway.refusing());
        wakePolls();
      }
      if (servers.reportLeaving(voter.status().term(), gateway.leaving())) {
        logger.atInfo().log("event=servers_leaving vm=%s", poll.entry().vm());
        wakePolls();
      }
    }
  }

  private void recordCrashes(ControlRequest.Poll poll) {
    boolean changed =
        quarantine.add(
            poll.entry().vm(), poll.gateway().crashes(), voter.status().term(), clocks.nanos());
    if (changed) {
      logger.atInfo().log("event=part_verdicts quarantined=%s", quarantine.quarantined());
      wakePolls();
    }
  }

  private ControlReply news(ControlState state, ControlRequest.Poll poll) {
    boolean sameEntries = poll.entriesNumber() == registry.listNumber();
    return new ControlReply.PollReply(
        voter.status().term(),
        state.updateSince(poll.revision()),
        registry.listNumber(),
        sameEntries ? Optional.empty() : Optional.of(registry.packedList()),
        gatewayNews(poll));
  }

  private ControlReply.GatewayPollReply gatewayNews(ControlRequest.Poll poll) {
    long term = voter.status().term();
    return new ControlReply.GatewayPollReply(
        servers.number(term),
        servers.updateSince(term, poll.gateway().serversNumber()),
        time.millis(),
        voters(),
        loads.inFlightOfOthers(poll.entry().vm()),
        verdicts(poll),
        loads.speeds().exchange(poll.entry().vm(), poll.gateway().speeds(), clocks.nanos()));
  }

  private Optional<PartVerdicts> verdicts(ControlRequest.Poll poll) {
    PartVerdicts current = quarantine.verdicts(clocks.nanos());
    boolean known = current.number() == poll.gateway().crashes().verdictsNumber();
    return known && current.trials().isEmpty() ? Optional.empty() : Optional.of(current);
  }

  /** Returns the live entries. */
  List<EntryInfo> entries() {
    return registry.entries();
  }

  /** Removes entries that have stopped polling; must be called about once a second. */
  public void removeSilentEntries() {
    List<EntryInfo> silent = registry.removeSilent(clocks.nanos());
    silent.forEach(entry -> logger.atWarning().log("event=entry_silent vm=%s", entry.vm()));
    silent.forEach(entry -> abandonClaims(entry.vm(), entry.incarnation()));
    if (!silent.isEmpty()) {
      wakePolls();
    }
  }

  private void abandonClaims(VmId vm, Incarnation gone) {
    logger.atInfo().log("event=claims_abandoned vm=%s incarnation=%s", vm, gone);
    var unused =
        voter
            .submit(new Command.AbandonClaims(vm, gone))
            .exceptionally(
                error -> {
                  logger.atWarning().log("event=abandon_failed vm=%s cause=%s", vm, error);
                  return null;
                });
  }

  private Mono<ControlReply> awaitInForce(ControlRequest.AwaitInForce request) {
    return Flux.interval(Duration.ZERO, IN_FORCE_CHECK_INTERVAL)
        .onBackpressureDrop()
        .map(tick -> isInForce(request.revision()))
        .filter(inForce -> inForce)
        .next()
        .timeout(Duration.ofMillis(request.limitMillis()), Mono.just(false))
        .map(
            inForce ->
                new ControlReply.InForce(
                    inForce, registry.entriesBehind(request.revision(), clocks.nanos())))
        .map(this::ifStillLeader);
  }

  private boolean isInForce(long revision) {
    long now = clocks.nanos();
    return registry.earlierProofsExpired(now) && registry.entriesBehind(revision, now).isEmpty();
  }

  private ControlReply report(ControlState state) {
    Status status = voter.status();
    return new ControlReply.Report(
        self,
        status.term(),
        status.commit(),
        state.view().version(),
        state.view().revision(),
        status.membership().members(),
        registry.states(),
        state.claimCount(),
        state.windows(),
        state.orders());
  }
}
