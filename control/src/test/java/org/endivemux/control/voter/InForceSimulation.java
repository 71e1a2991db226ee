package org.endivemux.control.voter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.endivemux.consensus.ConsensusCore.Status;
import org.endivemux.consensus.Membership;
import org.endivemux.consensus.Role;
import org.endivemux.consensus.Timing;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.client.GatewaySyncState;
import org.endivemux.control.client.OrderWriter;
import org.endivemux.control.client.UsageLedger;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.VersionNote;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.routing.fleet.PartQuarantine;
import org.endivemux.wire.MessagePackCodec;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;
import reactor.util.retry.Retry;

/**
 * Plays changes of the configuration between one leader and its entries in virtual time.
 *
 * <p>The leader's service and the entries' followers are the product's own. Links have a latency
 * and a bandwidth, and processors a speed, so that each message costs what its size costs. Equal
 * loads give equal outcomes. Confined to one thread.
 */
final class InForceSimulation implements AutoCloseable {
  private static final Duration LATENCY = Duration.ofNanos(4_500_000);
  private static final Duration COMMIT_TIME = Duration.ofMillis(15);
  private static final Duration WRITE_LIMIT = Duration.ofMillis(1800);
  private static final Duration STEP = Duration.ofMillis(1);
  private static final Duration WARM_UP = Duration.ofSeconds(5);

  /** How long an operator waits for a response before it sends the change again. */
  private static final Duration OPERATOR_LIMIT = Duration.ofSeconds(1);

  private static final Duration OPERATOR_FIRST_PAUSE = Duration.ofMillis(100);
  private static final Duration OPERATOR_MAX_PAUSE = Duration.ofSeconds(1);

  /** Longer than the first attempts of a poll, shorter than the next ones. */
  private static final Duration SLOW_ENTRY_PAUSE = Duration.ofMillis(2300);

  /** From the end of a leader to the next lease, unless votes are split. */
  private static final long LONGEST_ELECTION_NANOS = 2 * Timing.standard().electionNanos();

  /** Processor time of a whole core to encode or decode one byte of a message. */
  private static final double NANOS_PER_BYTE = 40;

  private static final double VOTER_CORES = 0.45;
  private static final double ENTRY_CORES = 0.75;
  private static final VmId LEADER = new VmId("127.0.0.1:1");

  private final VirtualTimeScheduler time = VirtualTimeScheduler.getOrSet();
  private final Clocks clocks = new Clocks(this::nanos, () -> time.now(TimeUnit.MILLISECONDS));
  private final Load load;
  private final Processor leaderProcessor = new Processor(VOTER_CORES);
  private final Leader leader = new Leader();
  private final ControlService service;
  private final List<Entry> entries;
  private final List<Acknowledged> acknowledged = new ArrayList<>();

  InForceSimulation(Load load) {
    this.load = load;
    this.service =
        new ControlService(
            LEADER,
            leader,
            new EntryRegistry(),
            clocks,
            new ServerDirectory(),
            new WindowCounts(),
            new TrueTime(clocks),
            new FleetLoad(),
            new PartQuarantine(),
            new StreamRecorder(leader, new TrueTime(clocks)));
    this.entries = IntStream.range(0, load.entries()).mapToObj(Entry::new).toList();
  }

  private long nanos() {
    return time.now(TimeUnit.NANOSECONDS);
  }

  /** Trouble that begins just before the changes. */
  enum Trouble {
    NONE,
    /** The replies to one entry are lost; its polls arrive. */
    LOST_REPLIES,
    /** One entry takes long to read what it receives, though not too long to follow. */
    SLOW_ENTRY,
    /** One entry ends without a word. */
    ENTRY_ENDS,
    /** The leader changes, so that it does not know the entries yet. */
    NEW_LEADER,
    /** The leader ends, and an election goes before the next one. */
    LEADER_ENDS
  }

  /** Writes the changes one after the other and returns when each was acknowledged and in force. */
  List<Acknowledged> play(Trouble trouble) {
    write(1);
    entries.forEach(entry -> entry.follower.start());
    advance(WARM_UP);
    acknowledged.clear();
    begin(trouble);
    for (int i = 0; i < load.changes(); i++) {
      write(2 + i);
      advance(load.gap());
    }
    advance(load.ackLimit().plus(load.applyLimit()));
    return List.copyOf(acknowledged);
  }

  private void begin(Trouble trouble) {
    Entry entry = entries.get(0);
    entry.isOutOfContact = trouble == Trouble.LOST_REPLIES || trouble == Trouble.ENTRY_ENDS;
    entry.pause = trouble == Trouble.SLOW_ENTRY ? SLOW_ENTRY_PAUSE : Duration.ZERO;
    if (trouble == Trouble.ENTRY_ENDS) {
      entry.follower.close();
    }
    leader.term += trouble == Trouble.NEW_LEADER || trouble == Trouble.LEADER_ENDS ? 1 : 0;
    leader.leaseFrom = trouble == Trouble.LEADER_ENDS ? nanos() + LONGEST_ELECTION_NANOS : nanos();
  }

  private void write(long version) {
    ControlClient control =
        new ControlClient(vm -> ControlClient.local(service::handle), List.of(LEADER));
    long sentAt = nanos();
    var unused =
        new OrderWriter(control, WRITE_LIMIT)
            .write(Command.PutGatewayConfig.of(load.config(version), new byte[10]))
            .timeout(OPERATOR_LIMIT)
            .retryWhen(
                Retry.backoff(Long.MAX_VALUE, OPERATOR_FIRST_PAUSE)
                    .maxBackoff(OPERATOR_MAX_PAUSE)
                    .jitter(0))
            .subscribe(none -> {}, error -> {}, () -> acknowledge(version, sentAt));
  }

  private void acknowledge(long version, long sentAt) {
    Acknowledged ack = new Acknowledged(version, Duration.ofNanos(nanos() - sentAt));
    acknowledged.add(ack);
    time.schedule(
        () -> ack.behind.addAll(entriesBehind(version)),
        load.applyLimit().toNanos(),
        TimeUnit.NANOSECONDS);
  }

  private List<VmId> entriesBehind(long version) {
    return entries.stream()
        .filter(entry -> !entry.isOutOfContact)
        .filter(entry -> entry.follower.view().gateway().version() < version)
        .map(entry -> entry.vm)
        .toList();
  }

  private void advance(Duration span) {
    for (long at = 0; at < span.toNanos(); at += STEP.toNanos()) {
      time.advanceTimeBy(STEP);
    }
  }

  @Override
  public void close() {
    entries.forEach(entry -> entry.follower.close());
    VirtualTimeScheduler.reset();
  }

  /**
   * What is played: the sizes, the rates and the limits that the outcome is held against.
   *
   * @param allChanged whether each change alters all routes instead of one
   */
  record Load(
      int routes,
      int entries,
      int changes,
      Duration gap,
      boolean allChanged,
      long linkBytesPerSecond,
      Duration ackLimit,
      Duration applyLimit) {
    GatewayConfig config(long version) {
      return allChanged
          ? LargeConfigs.withAllRoutesChanged(version, routes)
          : LargeConfigs.withOneChangedRoute(version, routes);
    }
  }

  /** An acknowledged change and the entries that lacked it when the limit was over. */
  static final class Acknowledged {
    private final long version;
    private final Duration took;
    private final List<VmId> behind = new ArrayList<>();

    Acknowledged(long version, Duration took) {
      this.version = version;
      this.took = took;
    }

    Duration took() {
      return took;
    }

    List<VmId> behind() {
      return behind;
    }

    @Override
    public String toString() {
      return "version " + version + " after " + took + ", not yet in force at " + behind;
    }
  }

  /** Does one piece of work after the other. */
  private final class Processor {
    private final double cores;
    private long idleAt;

    Processor(double cores) {
      this.cores = cores;
    }

    /** Completes when the work that a number of bytes causes has been done. */
    Mono<Long> work(long bytes) {
      return Mono.defer(
          () -> {
            idleAt = Math.max(idleAt, nanos()) + (long) (bytes * NANOS_PER_BYTE / cores);
            return Mono.delay(Duration.ofNanos(idleAt - nanos()), time);
          });
    }
  }

  /** Carries one message after the other. */
  private final class Link {
    private long idleAt;

    Mono<Long> carry(long bytes) {
      return Mono.defer(
          () -> {
            long nanos = bytes * TimeUnit.SECONDS.toNanos(1) / load.linkBytesPerSecond();
            idleAt = Math.max(idleAt, nanos()) + nanos;
            return Mono.delay(Duration.ofNanos(idleAt - nanos()).plus(LATENCY), time);
          });
    }
  }

  private final class Entry {
    private final VmId vm;
    private final Processor processor = new Processor(ENTRY_CORES);
    private final Link link = new Link();
    private final ViewFollower follower;
    private boolean isOutOfContact;
    private Duration pause = Duration.ZERO;

    Entry(int number) {
      this.vm = new VmId("127.0.0.1:" + (1000 + number));
      EntryInfo info =
          new EntryInfo(
              vm, new Incarnation("i"), new FailureDomain("z"), vm.value(), vm.value(), true);
      GatewaySyncState syncState =
          new GatewaySyncState(clocks, 5000, List::of, List::of, List::of, CrashNews::none);
      this.follower =
          new ViewFollower(
              new ControlClient(leaderVm -> this::ask, List.of(LEADER)),
              () -> info,
              new UsageLedger(),
              syncState,
              clocks);
    }

    private Mono<ControlReply> ask(ControlRequest request, Duration limit) {
      return link.carry(MessagePackCodec.encode(request).length)
          .then(Mono.defer(() -> service.handle(request)))
          .flatMap(this::deliver);
    }

    private Mono<ControlReply> deliver(ControlReply reply) {
      long bytes = MessagePackCodec.encode(reply).length;
      if (isOutOfContact) {
        return Mono.never();
      }
      return leaderProcessor
          .work(bytes)
          .then(link.carry(bytes))
          .then(processor.work(bytes))
          .then(Mono.defer(() -> Mono.delay(pause, time)))
          .thenReturn(reply);
    }
  }

  /** A leader whose commands are committed after a fixed time and then applied. */
  private final class Leader implements ReplicatedState {
    private final ControlState state = new ControlState();
    private final List<Runnable> listeners = new ArrayList<>();
    private long index;
    private long term = 1;
    private long leaseFrom;

    @Override
    public CompletableFuture<CommandResult> submit(Command command) {
      long bytes = MessagePackCodec.encode(command).length;
      return leaderProcessor
          .work(bytes)
          .then(Mono.delay(COMMIT_TIME, time))
          .map(tick -> apply(command))
          .toFuture();
    }

    @Override
    public CompletableFuture<CommandResult> submit(VersionNote note) {
      return submit(Command.noChange());
    }

    private CommandResult apply(Command command) {
      long before = state.view().revision();
      CommandResult result = state.apply(++index, new Command.Stamped(clocks.millis(), command));
      if (state.view().revision() != before) {
        listeners.forEach(Runnable::run);
      }
      return result;
    }

    @Override
    public <T> CompletableFuture<T> read(Function<ControlState, T> query) {
      return CompletableFuture.completedFuture(query.apply(state));
    }

    @Override
    public void onViewChanged(Runnable listener) {
      listeners.add(listener);
    }

    @Override
    public Status status() {
      return new Status(
          Role.LEADER,
          term,
          Optional.of(LEADER),
          Long.MAX_VALUE,
          index,
          index,
          term,
          new Membership(List.of()));
    }

    @Override
    public long publishedRevision() {
      return state.view().revision();
    }

    @Override
    public boolean holdsLease() {
      return nanos() >= leaseFrom;
    }
  }
}
