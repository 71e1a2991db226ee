package org.endivemux.control.voter;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.SynchronousQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.consensus.BootstrapConfig;
import org.endivemux.consensus.ConsensusCore;
import org.endivemux.consensus.Effects;
import org.endivemux.consensus.Envelope;
import org.endivemux.consensus.LogEntry;
import org.endivemux.consensus.Message.AppendReply;
import org.endivemux.consensus.Snapshot;
import org.endivemux.consensus.Timing;
import org.endivemux.model.Bytes;
import org.endivemux.model.VmId;
import org.endivemux.storage.DataFolder;
import org.endivemux.storage.FileOperations;
import org.endivemux.storage.StorageException;
import org.endivemux.storage.WriteFailureHandler;

/**
 * Simulates voters in virtual time while their disks refuse operations for a while.
 *
 * <p>Cores, disk writers and data folders are the real ones; time, network and refusals are
 * simulated. Each voter's disk writer has a thread of its own, but at any time only one thread
 * runs, so a seed determines the whole run. Used by one thread.
 */
final class FullDiskSimulation implements AutoCloseable {
  static final long MILLI = 1_000_000L;
  static final long SECOND = 1000 * MILLI;
  private static final Timing TIMING = Timing.standard();
  private static final long TICK = 20 * MILLI;
  private static final long SYNC_TIME = 5 * MILLI;
  private static final long RETRY_DELAY = 100 * MILLI;
  private static final long RESTART_DELAY = SECOND;
  private static final int COMPACTION_ENTRIES = 25;

  /** How long the operator waits for an acknowledgement before it sends a change again. */
  private static final long OPERATOR_PATIENCE = 1500 * MILLI;

  /** Operations that a disk may refuse. */
  enum Operation {
    OPEN,
    WRITE,
    SYNC,
    MOVE,
    DELETE
  }

  private record Event(long at, long order, Runnable action) {}

  private final Random random;
  private final double loss;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final List<Node> nodes;
  private final Map<String, Long> sentAt = new HashMap<>();
  private final Map<String, Long> acknowledgedAfter = new HashMap<>();
  private long now = 1000 * SECOND;
  private long order;
  private int changes;
  private int depositions;
  private boolean operatorPaused = true;

  FullDiskSimulation(int size, double loss, long seed) {
    this.random = new Random(seed);
    this.loss = loss;
    Set<VmId> voters =
        IntStream.range(0, size).mapToObj(FullDiskSimulation::vm).collect(Collectors.toSet());
    this.nodes = IntStream.range(0, size).mapToObj(i -> new Node(i, voters)).toList();
    nodes.forEach(Node::start);
  }

  private static VmId vm(int number) {
    return new VmId("vm" + number);
  }

  private void at(long delay, Runnable action) {
    events.add(new Event(now + delay, order++, action));
  }

  void runFor(long nanos) {
    long end = now + nanos;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    now = end;
  }

  /** Makes a disk refuse these operations until {@link #makeRoom}. */
  void refuse(int node, Set<Operation> operations) {
    nodes.get(node).refused.addAll(operations);
  }

  void makeRoom(int node) {
    nodes.get(node).refused.clear();
  }

  /** Makes the present leader, if any, give up leadership. */
  void deposeLeader() {
    leader()
        .ifPresent(
            node -> {
              depositions++;
              node.handle(node.core.orElseThrow().stepDown());
            });
  }

  /** Returns how often a leader was made to give up leadership. */
  int depositions() {
    return depositions;
  }

  void crash(int node) {
    nodes.get(node).crash();
  }

  void restart(int node) {
    nodes.get(node).start();
  }

  /** Starts to propose a new change at each interval, which is sent again until acknowledged. */
  void startOperator(long interval) {
    operatorPaused = false;
    proposeRepeatedly(interval);
  }

  void stopOperator() {
    operatorPaused = true;
  }

  private void proposeRepeatedly(long interval) {
    if (!operatorPaused) {
      propose();
      at(interval, () -> proposeRepeatedly(interval));
    }
  }

  /** Proposes one change, sends it again until it is acknowledged, and returns its name. */
  String propose() {
    String change = "c" + changes++;
    sentAt.put(change, now);
    send(change);
    return change;
  }

  private void send(String change) {
    if (acknowledgedAfter.containsKey(change)) {
      return;
    }
    Optional<Node> leader = leader();
    leader.ifPresent(node -> node.propose(change));
    at(leader.isPresent() ? OPERATOR_PATIENCE : 50 * MILLI, () -> send(change));
  }

  /** Returns how long each acknowledged change took. */
  Map<String, Long> acknowledgedAfter() {
    return Collections.unmodifiableMap(acknowledgedAfter);
  }

  /** Returns the changes that were proposed at least this long ago and have no acknowledgement. */
  List<String> unacknowledged(long age) {
    return sentAt.keySet().stream()
        .filter(change -> !acknowledgedAfter.containsKey(change))
        .filter(change -> now - sentAt.get(change) >= age)
        .toList();
  }

  /** Returns the acknowledged changes that a voter has not applied. */
  List<String> lostAt(int node) {
    return acknowledgedAfter.keySet().stream()
        .filter(change -> !nodes.get(node).applied.contains(change))
        .toList();
  }

  Optional<Node> leader() {
    return nodes.stream()
        .filter(node -> node.core.isPresent())
        .filter(node -> node.status().holdsLease(now))
        .findFirst();
  }

  List<Node> nodes() {
    return nodes;
  }

  long highestTerm() {
    return nodes.stream()
        .flatMap(node -> node.core.stream())
        .mapToLong(core -> core.status(now).term())
        .max()
        .orElse(0);
  }

  /** Returns how often processes ended by themselves. */
  int exits() {
    return nodes.stream().mapToInt(node -> node.exits).sum();
  }

  @Override
  public void close() {
    nodes.forEach(Node::close);
  }

  private void send(Envelope envelope) {
    if (random.nextDouble() < loss) {
      return;
    }
    int to = Integer.parseInt(envelope.to().value().substring(2));
    at((1 + random.nextInt(3)) * MILLI, () -> nodes.get(to).receive(envelope));
  }

  /** One voter: its core, its disk writer with a thread, its data folder and what it applied. */
  final class Node implements FileOperations, WriteFailureHandler {
    private final int number;
    private final Set<VmId> voters;
    private final Path path;
    private final Set<Operation> refused = EnumSet.noneOf(Operation.class);
    private final Map<FileChannel, Long> syncedSizes = new HashMap<>();
    private final ExecutorService diskThread = Executors.newSingleThreadExecutor();
    private final SynchronousQueue<Boolean> ended = new SynchronousQueue<>();
    private final SynchronousQueue<Boolean> retry = new SynchronousQueue<>();
    private Optional<ConsensusCore> core = Optional.empty();
    private DataFolder folder;
    private DiskWriter writer;
    private List<String> applied = new ArrayList<>();
    private final Map<Long, String> proposed = new HashMap<>();
    private long proposedTerm;
    private long appliedIndex;
    private long compactedIndex;
    private long acknowledgedIndex;
    private int incarnation;
    private int exits;
    private boolean diskBusy;
    private boolean waits;
    private Optional<RuntimeException> failure = Optional.empty();

    Node(int number, Set<VmId> voters) {
      this.number = number;
      this.voters = voters;
      this.path = makeFolder("disk" + number);
    }

    ConsensusCore.Status status() {
      return core.orElseThrow().status(now);
    }

    int number() {
      return number;
    }

    /** Returns the last index that this voter has told a leader to be synced. */
    long acknowledgedIndex() {
      return acknowledgedIndex;
    }

    void start() {
      int startedIn = ++incarnation;
      runOnDisk(() -> folder = DataFolder.open(path, this, this), () -> startCore(startedIn));
    }

    private void startCore(int startedIn) {
      diskBusy = false;
      var recovered = folder.recovered();
      writer =
          new DiskWriter(
              folder,
              envelope -> afterSync(startedIn, () -> FullDiskSimulation.this.send(envelope)),
              step -> afterSync(startedIn, () -> handle(core.orElseThrow().persisted(step))),
              error -> {},
              new MetricRegistry());
      core =
          Optional.of(
              new ConsensusCore(
                  vm(number), BootstrapConfig.fixedVoters(voters), recovered, TIMING, now));
      restore(recovered.snapshot());
      proposed.clear();
      tick(startedIn);
    }

    private void afterSync(int startedIn, Runnable action) {
      at(
          SYNC_TIME,
          () -> {
            if (incarnation == startedIn) {
              action.run();
            }
          });
    }

    private void tick(int startedIn) {
      if (incarnation == startedIn && core.isPresent()) {
        handle(core.orElseThrow().tick(now));
        compactWhenLong();
        at(TICK, () -> tick(startedIn));
      }
    }

    private void compactWhenLong() {
      if (appliedIndex - compactedIndex > COMPACTION_ENTRIES) {
        compactedIndex = appliedIndex;
        Bytes state = Bytes.ofUtf8(String.join(",", applied));
        handle(core.orElseThrow().compact(appliedIndex, state));
      }
    }

    void receive(Envelope envelope) {
      core.ifPresent(running -> handle(running.receive(envelope, now)));
    }

    void propose(String change) {
      var proposal = core.orElseThrow().propose(List.of(Bytes.ofUtf8(change)), now);
      proposal
          .first()
          .ifPresent(
              position -> {
                if (position.term() != proposedTerm) {
                  proposed.clear();
                  proposedTerm = position.term();
                }
                proposed.put(position.index(), change);
              });
      handle(proposal.effects());
    }

    void handle(Effects effects) {
      effects.messages().forEach(this::recordAcknowledgement);
      effects.messages().forEach(FullDiskSimulation.this::send);
      if (effects.persist().isPresent() || !effects.afterPersist().isEmpty()) {
        writer.write(effects);
      }
      effects.installed().ifPresent(this::restore);
      effects.committed().forEach(this::apply);
      writeNext();
    }

    private void recordAcknowledgement(Envelope envelope) {
      if (envelope.message() instanceof AppendReply reply && reply.accepted()) {
        acknowledgedIndex = reply.index();
      }
    }

    private void restore(Snapshot snapshot) {
      applied =
          Stream.of(snapshot.state().toUtf8().split(","))
              .filter(change -> !change.isEmpty())
              .collect(Collectors.toCollection(ArrayList::new));
      appliedIndex = snapshot.index();
      compactedIndex = snapshot.index();
    }

    private void apply(LogEntry entry) {
      appliedIndex = entry.index();
      if (entry.hasCommand()) {
        String change = entry.command().toUtf8();
        if (!applied.contains(change)) {
          applied.add(change);
        }
        if (entry.term() == proposedTerm && change.equals(proposed.remove(entry.index()))) {
          acknowledgedAfter.putIfAbsent(change, now - sentAt.get(change));
        }
      }
    }

    private void writeNext() {
      if (core.isPresent() && !diskBusy && !writer.isIdle()) {
        int startedIn = incarnation;
        runOnDisk(
            () -> writer.writeNextGroup(),
            () ->
                afterSync(
                    startedIn,
                    () -> {
                      diskBusy = false;
                      writeNext();
                    }));
      }
    }

    @FunctionalInterface
    interface DiskAction {
      void run() throws InterruptedException;
    }

    private void runOnDisk(DiskAction action, Runnable next) {
      diskBusy = true;
      int startedIn = incarnation;
      diskThread.execute(
          () -> {
            try {
              action.run();
              failure = Optional.empty();
            } catch (StorageException e) {
              failure = Optional.of(e);
            } catch (RuntimeException | InterruptedException e) {
              failure = Optional.of(new IllegalStateException(e));
            }
            signal(ended, true);
          });
      awaitDisk(startedIn, next);
    }

    /** Waits until the disk thread has ended its action, or waits itself to try again. */
    private void awaitDisk(int startedIn, Runnable next) {
      waits = !await(ended);
      if (waits) {
        at(
            RETRY_DELAY,
            () -> {
              if (waits && incarnation == startedIn) {
                signal(retry, true);
                awaitDisk(startedIn, next);
              }
            });
      } else if (failure.isPresent()) {
        exit(failure.get());
      } else {
        next.run();
      }
    }

    private void exit(RuntimeException cause) {
      if (!(cause instanceof StorageException)) {
        throw cause;
      }
      exits++;
      crash();
      at(RESTART_DELAY, this::start);
    }

    void crash() {
      core = Optional.empty();
      incarnation++;
      if (waits) {
        waits = false;
        signal(retry, false);
        await(ended);
      }
      if (folder != null) {
        folder.close();
        folder = null;
      }
      diskBusy = false;
    }

    void close() {
      crash();
      diskThread.shutdownNow();
    }

    @Override
    public void onWriteFailed(Path file, int failedAttempts, IOException cause) {
      signal(ended, false);
      if (!await(retry)) {
        throw new StorageException("The process was killed.");
      }
    }

    private void refuseIf(Operation operation) throws IOException {
      if (refused.contains(operation)) {
        throw new IOException("No space left on device (" + operation + ")");
      }
    }

    @Override
    public FileChannel open(Path file) throws IOException {
      if (!Files.exists(file)) {
        refuseIf(Operation.OPEN);
      }
      FileChannel channel = FileOperations.super.open(file);
      syncedSizes.put(channel, channel.size());
      return channel;
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
      if (refused.contains(Operation.WRITE)) {
        int count = random.nextInt(bytes.remaining());
        channel.write(bytes.slice(bytes.position(), count));
      }
      refuseIf(Operation.WRITE);
      FileOperations.super.write(channel, bytes);
    }

    /** A refused sync keeps any part of what was written since the last one. */
    @Override
    public void sync(FileChannel channel, boolean metadata) throws IOException {
      if (refused.contains(Operation.SYNC) && syncedSizes.containsKey(channel)) {
        long synced = Math.min(syncedSizes.get(channel), channel.size());
        channel.truncate(synced + random.nextInt((int) (channel.size() - synced) + 1));
      }
      refuseIf(Operation.SYNC);
      syncedSizes.computeIfPresent(channel, (key, size) -> sizeOf(key));
    }

    private static long sizeOf(FileChannel channel) {
      try {
        return channel.size();
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }

    @Override
    public void move(Path from, Path to) throws IOException {
      refuseIf(Operation.MOVE);
      FileOperations.super.move(from, to);
    }

    @Override
    public void deleteIfExists(Path file) throws IOException {
      refuseIf(Operation.DELETE);
      FileOperations.super.deleteIfExists(file);
    }

    @Override
    public String toString() {
      return "vm"
          + number
          + (core.isPresent() ? " " + status() : " down")
          + " acknowledged="
          + acknowledgedIndex;
    }
  }

  private static <T> void signal(SynchronousQueue<T> queue, T value) {
    try {
      queue.put(value);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  private static <T> T await(SynchronousQueue<T> queue) {
    try {
      return queue.take();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  /**
   * Makes a data folder whose disk id, which election timeouts depend on, is the same in all runs.
   */
  private static Path makeFolder(String diskId) {
    try {
      Path folder = Files.createTempDirectory("full-disk");
      Files.writeString(folder.resolve("disk-id"), diskId);
      return folder;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
