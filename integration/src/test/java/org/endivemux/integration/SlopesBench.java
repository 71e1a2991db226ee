package org.endivemux.integration;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.consensus.Envelope;
import org.endivemux.consensus.Message;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.ClaimOwner;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.EntryView;
import org.endivemux.control.state.ViewUpdate;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Bytes;
import org.endivemux.model.ClassName;
import org.endivemux.model.Declaration;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.Declaration.Organisation;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.model.DeclarationIndex;
import org.endivemux.model.DiskId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.IdempotencyTime;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.Incarnation;
import org.endivemux.model.KeyRole;
import org.endivemux.model.Keys;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;
import org.endivemux.model.PlanId;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.VmId;
import org.endivemux.routing.Job;
import org.endivemux.routing.Observation;
import org.endivemux.routing.Scheduler;
import org.endivemux.routing.SelectionPolicies;
import org.endivemux.wire.MessagePackCodec;
import org.endivemux.wire.Packed;

/** Measures bytes, memory and CPU time of the control plane at several sizes. Not part of CI. */
final class SlopesBench {
  private static final long NOW = 1_800_000_000_000L;
  private static final int REPEATS = 20_000;

  /** Stores results so that the JIT compiler does not eliminate calls as dead code. */
  @SuppressWarnings("unused")
  private static volatile Object sink;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  @Example
  void print() {
    System.out.println("SLOPE what | size | wire bytes | heap bytes | CPU us each");
    for (int size : List.of(1000, 4000, 8000)) {
      row("view of organisations, one key each", size, i -> stateWith(i, 20, 0).view());
    }
    for (int size : List.of(150, 300, 600)) {
      row("view of engines", size, i -> stateWith(10, i, 0).view());
    }
    for (int size : List.of(1000, 4000, 16000)) {
      row("voter state with claims", size, i -> stateWith(10, 20, i));
    }
    changes();
    polls();
    digests();
    scheduler();
    heartbeat();
  }

  private static void row(String what, int size, IntFunction<Object> factory) {
    long before = usedHeap();
    Object object = factory.apply(size);
    long heap = usedHeap() - before;
    int wire =
        object instanceof EntryView view
            ? MessagePackCodec.encode(view.save()).length
            : ((ControlState) object).save().size();
    double cpu =
        object instanceof ControlState state
            ? cpuMicros(5, i -> state.save())
            : cpuMicros(20, i -> new DeclarationIndex(((EntryView) object).declaration()));
    System.out.printf("SLOPE %s | %d | %d | %d | %.0f%n", what, size, wire, heap, cpu);
  }

  private static long usedHeap() {
    IntStream.range(0, 4).forEach(i -> System.gc());
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Returns the mean CPU time of one call in microseconds, after a warm-up. */
  private static double cpuMicros(int repeats, IntFunction<Object> call) {
    IntStream.range(0, repeats).forEach(i -> sink = call.apply(i));
    long start = THREADS.getCurrentThreadCpuTime();
    IntStream.range(0, repeats).forEach(i -> sink = call.apply(i));
    return (THREADS.getCurrentThreadCpuTime() - start) / 1000.0 / repeats;
  }

  private static ControlState stateWith(int organisations, int engines, int claims) {
    ControlState state = new ControlState();
    state.restore(Bytes.empty());
    confirm(state, 1, declaration(organisations, engines, 1));
    IntStream.range(0, organisations)
        .forEach(
            i ->
                state.apply(
                    100L + i,
                    stamped(
                        new Command.CreateKey(
                            Keys.digest("k" + i), organisation(i), KeyRole.CALLER, "k" + i))));
    IntStream.range(0, claims).forEach(i -> claim(state, i));
    return state;
  }

  private static void confirm(ControlState state, long index, Declaration declaration) {
    PlanId plan = new PlanId("plan" + index);
    state.apply(
        index, stamped(new Command.ProposePlan(plan, Optional.empty(), declaration, "bench")));
    state.apply(index + 1, stamped(new Command.ConfirmPlan(plan, "bench")));
  }

  private static void claim(ControlState state, int i) {
    ClaimOwner owner = owner(i);
    var key = IdempotencyTime.of(NOW, i, i);
    state.apply(
        1_000_000L + i,
        stamped(
            new Command.OpenClaim(organisation(i % 10), key, Keys.sha256(new byte[] {1}), owner)));
    Outcome outcome = new Outcome(200, "application/json", Bytes.of(new byte[200]));
    state.apply(
        1_000_001L + i,
        stamped(new Command.FinishClaim(organisation(i % 10), key, owner, outcome)));
  }

  private static ClaimOwner owner(int i) {
    return new ClaimOwner(
        new VmId("vm" + i % 7),
        new Incarnation("mx8h6hvqp1"),
        new RequestId("vm1-mx8h6hvqp1-" + i));
  }

  private static Command.Stamped stamped(Command command) {
    return new Command.Stamped(NOW, command);
  }

  private static OrganisationId organisation(int i) {
    return new OrganisationId("organisation-" + i);
  }

  private static Declaration declaration(int organisations, int engines, int share) {
    ClassName chat = new ClassName("chat");
    return new Declaration(
        IntStream.range(0, organisations)
            .mapToObj(i -> new Organisation(organisation(i), share, List.of()))
            .toList(),
        List.of(new RequestClass(chat, 1, false, 840, 10_000, 0.1)),
        List.of(new Route(Route.Type.MODEL, "assistant", chat, true)),
        IntStream.range(0, engines).mapToObj(SlopesBench::engine).toList(),
        1);
  }

  private static BackendServer engine(int i) {
    return new BackendServer(
        new BackendServerId("engine-" + i),
        "10.0.0.1:9000",
        new FailureDomain("d" + i % 4),
        ServerKind.STEADY,
        List.of("assistant"),
        32,
        1,
        true);
  }

  private static void changes() {
    for (int size : List.of(1000, 4000, 8000)) {
      ControlState state = stateWith(size, 20, 0);
      long revision = state.view().revision();
      confirm(state, 500_000, declaration(size + 1, 20, 1));
      byte[] sent = MessagePackCodec.encode(state.updateSince(revision));
      var update = state.updateSince(revision);
      EntryView view = stateWith(size, 20, 0).view();
      double cpu = cpuMicros(20, i -> view.apply(update));
      System.out.printf(
          "SLOPE change of one organisation among | %d | %d | - | %.0f%n", size, sent.length, cpu);
    }
  }

  private static void polls() {
    for (int size : List.of(7, 70, 370)) {
      List<EntryInfo> entries = IntStream.range(0, size).mapToObj(SlopesBench::entry).toList();
      var gatewayReply =
          new ControlReply.GatewayPollReply(
              0, Optional.empty(), 0, List.of(), Optional.empty(), Optional.empty());
      var nothingNew = new ViewUpdate(Optional.empty(), List.of());
      var poll =
          new ControlRequest.Poll(
              entry(1), 123456, 5_000_001, List.of(), ControlRequest.GatewayPoll.none(), 0);
      var quiet =
          new ControlReply.PollReply(5, nothingNew, 5_000_001, Optional.empty(), gatewayReply);
      var list =
          new ControlReply.PollReply(
              5, nothingNew, 5_000_001, Optional.of(Packed.of(entries)), gatewayReply);
      byte[] request = MessagePackCodec.encode(poll);
      byte[] reply = MessagePackCodec.encode(quiet);
      double cpu =
          cpuMicros(
              REPEATS,
              i -> {
                MessagePackCodec.decode(request, ControlRequest.class);
                return MessagePackCodec.encode(quiet);
              });
      System.out.printf(
          "SLOPE quiet poll among entries (codec only) | %d | %d | - | %.1f%n",
          size, request.length + reply.length, cpu);
      System.out.printf(
          "SLOPE news with the list of entries | %d | %d | - | %.1f%n",
          size,
          MessagePackCodec.encode(list).length,
          cpuMicros(500, i -> MessagePackCodec.encode(list)));
    }
  }

  private static EntryInfo entry(int i) {
    return new EntryInfo(
        new VmId("vm" + i),
        new Incarnation("mx8h6hvqp1"),
        new FailureDomain("d" + i % 4),
        "10.0.0." + i % 250 + ":8080",
        "10.0.0." + i % 250 + ":7080",
        true);
  }

  private static void digests() {
    for (int size : List.of(10, 40, 160)) {
      Scheduler scheduler = new Scheduler(new FailureDomain("d1"), SelectionPolicies.leastCost());
      scheduler.configure(new DeclarationIndex(declaration(10, size, 1)), id -> false);
      List<InFlightAt> digest =
          IntStream.range(0, size)
              .mapToObj(i -> new InFlightAt(InFlightAt.tag(engine(i).id()), 3, 500))
              .toList();
      byte[] bytes = MessagePackCodec.encode(digest);
      double cpu =
          cpuMicros(
              5000,
              i -> {
                scheduler.peerDigest("vm2", digest, i);
                return MessagePackCodec.encode(digest);
              });
      System.out.printf("SLOPE digest of engines | %d | %d | - | %.1f%n", size, bytes.length, cpu);
    }
  }

  private static void scheduler() {
    for (int size : List.of(10, 40, 160)) {
      Scheduler scheduler = new Scheduler(new FailureDomain("d1"), SelectionPolicies.leastCost());
      scheduler.configure(new DeclarationIndex(declaration(100, size, 1)), id -> false);
      double cpu =
          cpuMicros(
              REPEATS,
              i -> {
                Job job =
                    new Job(
                        new RequestId("r" + i),
                        organisation(i % 100),
                        new ClassName("chat"),
                        "assistant",
                        true,
                        i,
                        100,
                        7);
                scheduler.offer(job, i);
                scheduler.assign(i);
                scheduler.finished(
                    job.id(), new Observation(Observation.Result.OK, 1000, 50_000, 20), i);
                return job;
              });
      System.out.printf("SLOPE decision among engines | %d | - | - | %.1f%n", size, cpu);
    }
  }

  private static void heartbeat() {
    Envelope beat =
        new Envelope(
            new VmId("vm1"),
            new DiskId("0b7c2c6e-0000-4000-8000-000000000001"),
            new VmId("vm2"),
            Optional.of(new DiskId("0b7c2c6e-0000-4000-8000-000000000002")),
            new Message.Append(5, 100_000, 5, List.of(), 100_000, 123_456_789_012L));
    byte[] bytes = MessagePackCodec.encode(beat);
    double cpu =
        cpuMicros(
            REPEATS,
            i -> {
              MessagePackCodec.decode(bytes, Envelope.class);
              return MessagePackCodec.encode(beat);
            });
    System.out.printf("SLOPE heartbeat of the log | 1 | %d | - | %.1f%n", bytes.length, cpu);
  }
}
