package org.endivemux.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.consensus.ConsensusCore.Status;
import org.endivemux.consensus.Message.VoteReply;
import org.endivemux.consensus.Message.VoteRequest;
import org.endivemux.model.Bytes;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Simulates several cores in virtual time, with network and disk faults derived from a seed.
 *
 * <p>It checks throughout that each term has at most one leader, that members commit the same
 * command at the same index, that at most one member holds a lease, and that a vote is on the
 * voter's disk before it is sent. Confined to one thread.
 */
final class ClusterSimulation {
  static final long MILLI = 1_000_000L;
  private static final Timing TIMING = Timing.standard();

  private final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Map<Long, DiskId> leaders = new HashMap<>();
  private final Map<Long, String> committed = new HashMap<>();
  private final Set<Integer> isolated = new HashSet<>();
  private final Set<Set<Integer>> cutLinks = new HashSet<>();
  private long now = 1000 * MILLI;
  private long order;
  private int disks;
  private double loss;

  ClusterSimulation(int size, long seed) {
    random = new Random(seed);
    Set<VmId> voters =
        IntStream.range(0, size).mapToObj(ClusterSimulation::vm).collect(Collectors.toSet());
    IntStream.range(0, size)
        .forEach(i -> nodes.add(new Node(i, BootstrapConfig.fixedVoters(voters))));
    nodes.forEach(Node::start);
  }

  /** Creates a cluster that the first {@code initialMembers} form and others may join. */
  static ClusterSimulation open(int initialMembers, int joiners, long seed) {
    ClusterSimulation cluster = new ClusterSimulation(0, seed);
    IntStream.range(0, initialMembers + joiners).forEach(i -> cluster.add(initialMembers, true));
    return cluster;
  }

  /** Adds and starts a member with an empty disk, and returns its number. */
  int add(int contactCount, boolean mayForm) {
    return add(IntStream.range(0, contactCount).boxed().collect(Collectors.toSet()), mayForm);
  }

  /**
   * Adds and starts a member with an empty disk that knows some members, and returns its number.
   */
  int add(Set<Integer> contactNumbers, boolean mayForm) {
    Set<VmId> contacts =
        contactNumbers.stream().map(ClusterSimulation::vm).collect(Collectors.toSet());
    Node node = new Node(nodes.size(), new BootstrapConfig(contacts, mayForm, true));
    nodes.add(node);
    node.start();
    return node.number;
  }

  /** Returns the numbers of the members that are voters in the leader's membership. */
  Set<Integer> voters() {
    Set<DiskId> voting = leader().map(node -> node.status().membership().voters()).orElse(Set.of());
    return nodes.stream()
        .filter(node -> voting.contains(node.disk.id))
        .map(node -> node.number)
        .collect(Collectors.toSet());
  }

  private static VmId vm(int i) {
    return new VmId("vm" + i);
  }

  private record Event(long at, long order, Runnable action) {}

  void at(long delay, Runnable action) {
    events.add(new Event(now + delay, order++, action));
  }

  void runFor(long nanos) {
    long end = now + nanos;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
      checkLeases();
    }
    now = end;
  }

  void setMessageLoss(double probability) {
    loss = probability;
  }

  void isolate(int node) {
    isolated.add(node);
  }

  /** Drops messages between two members, which still reach all others. */
  void cutLink(int one, int other) {
    cutLinks.add(Set.copyOf(List.of(one, other)));
  }

  void crash(int node) {
    nodes.get(node).crash();
  }

  void restart(int node) {
    nodes.get(node).start();
  }

  /** Loses a member and its disk for good. */
  void remove(int node) {
    nodes.get(node).crash();
    nodes.get(node).isRemoved = true;
  }

  /** Returns the numbers of the members that are not lost for good, in the order of their start. */
  List<Integer> remaining() {
    return remainingNodes().map(node -> node.number).toList();
  }

  private Stream<Node> remainingNodes() {
    return nodes.stream().filter(node -> !node.isRemoved);
  }

  void thaw(int node) {
    nodes.get(node).frozen = false;
  }

  /** Ends the isolation of one member. */
  void reconnect(int node) {
    isolated.remove(node);
  }

  /**
   * Returns how many more voters may be lost at once without a loss of the quorum, by the leader's
   * membership; negative if there is no leader.
   */
  int tolerance() {
    return leader()
        .map(node -> node.status().membership())
        .map(membership -> running(membership.voters()) - membership.quorum())
        .orElse(-1);
  }

  private int running(Set<DiskId> disks) {
    return (int)
        nodes.stream().filter(Node::isRunning).filter(node -> disks.contains(node.disk.id)).count();
  }

  void freeze(int node) {
    nodes.get(node).frozen = true;
  }

  /** Replaces a disk with an empty one, or returns false while an earlier loss is repaired. */
  boolean loseDisk(int node) {
    if (!hasFullMembership()) {
      return false;
    }
    nodes.get(node).crash();
    nodes.get(node).newDisk();
    nodes.get(node).start();
    return true;
  }

  /** Returns whether all disks in use are the voters and the leader's log is committed. */
  boolean hasFullMembership() {
    Set<DiskId> present = remainingNodes().map(node -> node.disk.id).collect(Collectors.toSet());
    return leader()
        .map(Node::status)
        .filter(status -> status.commit() == status.lastIndex())
        .filter(status -> status.membership().voters().equals(present))
        .isPresent();
  }

  void compact(int node) {
    nodes.get(node).compact();
  }

  void propose(String command) {
    nodes.stream().filter(Node::isRunning).forEach(node -> node.propose(command));
  }

  void heal() {
    loss = 0;
    isolated.clear();
    cutLinks.clear();
    nodes.forEach(node -> node.frozen = false);
    remainingNodes().filter(node -> node.core.isEmpty()).forEach(Node::start);
  }

  Optional<Node> leader() {
    return nodes.stream()
        .filter(Node::isRunning)
        .filter(node -> node.status().holdsLease(node.clock()))
        .findFirst();
  }

  boolean hasCommitted(String command) {
    return committed.containsValue(command);
  }

  boolean allApplied(String command) {
    return remainingNodes().allMatch(node -> node.applied.endsWith(command + ";"));
  }

  /** Returns whether each member that remains has applied a command, in a snapshot or by itself. */
  boolean wasAppliedEverywhere(String command) {
    return remainingNodes().allMatch(node -> (";" + node.applied).contains(";" + command + ";"));
  }

  private void checkLeases() {
    List<Node> holders =
        nodes.stream()
            .filter(node -> node.core.isPresent())
            .filter(node -> node.status().holdsLease(node.clock()))
            .toList();
    if (holders.size() > 1) {
      throw new AssertionError("Two members hold a lease: " + holders);
    }
  }

  /** Runs one member with its clock, disk and applied commands. */
  final class Node {
    final int number;
    final BootstrapConfig bootstrap;
    final double clockRate;
    final long clockOffset;
    SimulatedDisk disk;
    Optional<ConsensusCore> core = Optional.empty();
    boolean frozen;
    boolean isRemoved;
    String applied = "";
    private long appliedIndex;
    private int incarnation;
    private final Deque<Runnable> inbox = new ArrayDeque<>();

    Node(int number, BootstrapConfig bootstrap) {
      this.number = number;
      this.bootstrap = bootstrap;
      this.clockRate = 1 + (random.nextDouble() - 0.5) * 0.04;
      this.clockOffset = random.nextInt(1000) * MILLI;
      newDisk();
    }

    void newDisk() {
      disk = new SimulatedDisk(new DiskId("disk" + disks++));
    }

    long clock() {
      return clockOffset + (long) (now * clockRate);
    }

    boolean isRunning() {
      return core.isPresent() && !frozen;
    }

    Status status() {
      return core.orElseThrow().status(clock());
    }

    void start() {
      incarnation++;
      Recovered recovered = disk.recover();
      core = Optional.of(new ConsensusCore(vm(number), bootstrap, recovered, TIMING, clock()));
      applied = recovered.snapshot().state().toUtf8();
      appliedIndex = recovered.snapshot().index();
      inbox.clear();
      scheduleTick(incarnation);
    }

    void crash() {
      core = Optional.empty();
      incarnation++;
    }

    private void scheduleTick(int startedIn) {
      at(
          20 * MILLI,
          () -> {
            if (incarnation == startedIn) {
              if (isRunning()) {
                drain();
                handle(core.orElseThrow().tick(clock()));
              }
              scheduleTick(startedIn);
            }
          });
    }

    private void drain() {
      while (!inbox.isEmpty()) {
        inbox.poll().run();
      }
    }

    void propose(String command) {
      handle(core.orElseThrow().propose(List.of(Bytes.ofUtf8(command)), clock()).effects());
    }

    void compact() {
      if (isRunning() && appliedIndex > 0) {
        handle(core.orElseThrow().compact(appliedIndex, Bytes.ofUtf8(applied)));
      }
    }

    void deliver(Envelope envelope) {
      if (core.isEmpty()) {
        return;
      }
      inbox.add(() -> handle(core.orElseThrow().receive(envelope, clock())));
      if (!frozen) {
        drain();
      }
    }

    private void handle(Effects effects) {
      checkSingleLeader();
      effects.messages().forEach(ClusterSimulation.this::send);
      int startedIn = incarnation;
      SimulatedDisk target = disk;
      long delay = effects.persist().isPresent() ? random.nextInt(40) * MILLI : 0;
      syncAt = Math.max(syncAt, now + delay);
      at(syncAt - now, () -> sync(effects, startedIn, target));
      effects.installed().ifPresent(this::install);
      effects.committed().forEach(this::apply);
    }

    private long syncAt;

    private void sync(Effects effects, int startedIn, SimulatedDisk target) {
      if (incarnation != startedIn) {
        return;
      }
      effects.persist().ifPresent(target::write);
      effects.afterPersist().forEach(ClusterSimulation.this::send);
      if (effects.needsPersist()) {
        persisted(effects.step());
      }
    }

    private void persisted(long step) {
      inbox.add(() -> handle(core.orElseThrow().persisted(step)));
      if (!frozen) {
        drain();
      }
    }

    private void install(Snapshot snapshot) {
      applied = snapshot.state().toUtf8();
      appliedIndex = snapshot.index();
    }

    private void apply(LogEntry entry) {
      String text = entry.command().toUtf8();
      String known = committed.putIfAbsent(entry.index(), text);
      if (known != null && !known.equals(text)) {
        throw new AssertionError(
            "Members committed both " + known + " and " + text + " at index " + entry.index());
      }
      if (entry.index() != appliedIndex + 1) {
        throw new AssertionError("Entry " + entry.index() + " applied after " + appliedIndex);
      }
      appliedIndex = entry.index();
      applied += entry.hasCommand() ? text + ";" : "";
    }

    private void checkSingleLeader() {
      if (status().role() == Role.LEADER) {
        DiskId known = leaders.putIfAbsent(status().term(), disk.id);
        if (known != null && !known.equals(disk.id)) {
          throw new AssertionError("Term " + status().term() + " has two leaders.");
        }
      }
    }

    @Override
    public String toString() {
      return "vm" + number + " " + status();
    }
  }

  private void send(Envelope envelope) {
    int copies = random.nextDouble() < loss ? random.nextInt(3) : 1;
    IntStream.range(0, copies).forEach(i -> sendOnce(envelope));
  }

  private void sendOnce(Envelope envelope) {
    long spread = loss > 0 ? random.nextInt(60) : random.nextInt(3);
    int from = Integer.parseInt(envelope.from().value().substring(2));
    int to = Integer.parseInt(envelope.to().value().substring(2));
    checkVoteIsSynced(nodes.get(from), envelope);
    at(
        (3 + spread) * MILLI,
        () -> {
          if (isConnected(from, to)) {
            nodes.get(to).deliver(envelope);
          }
        });
  }

  private boolean isConnected(int from, int to) {
    return !isolated.contains(from)
        && !isolated.contains(to)
        && !cutLinks.contains(Set.copyOf(List.of(from, to)));
  }

  /** Checks that a vote is synced before it is sent: a power loss could let it be cast twice. */
  private static void checkVoteIsSynced(Node voter, Envelope envelope) {
    boolean unsyncedVote =
        envelope.message() instanceof VoteReply reply
            && reply.granted()
            && !reply.pre()
            && !voter.disk.holdsVote(reply.term(), envelope.toDisk().orElseThrow());
    boolean unsyncedCandidacy =
        envelope.message() instanceof VoteRequest request
            && !request.pre()
            && !voter.disk.holdsVote(request.term(), voter.disk.id);
    if (unsyncedVote || unsyncedCandidacy) {
      throw new AssertionError("A vote was sent before it was synced: " + envelope);
    }
  }
}
