package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.endivemux.consensus.ConsensusCore.Status;
import org.endivemux.consensus.Membership;
import org.endivemux.consensus.Role;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.ControlState;
import org.endivemux.control.state.VersionNote;
import org.endivemux.model.VmId;
import org.endivemux.routing.fleet.PartQuarantine;

/** Checks what a voter answers that has been replaced as leader. */
final class ControlServiceTest {
  private static final VmId SELF = new VmId("127.0.0.1:1");
  private static final VmId SUCCESSOR = new VmId("127.0.0.1:2");
  private static final Duration LIMIT = Duration.ofSeconds(20);

  private final ReplacedLeader leader = new ReplacedLeader();
  private final ControlService service = service();

  private ControlService service() {
    Clocks clocks = Clocks.system();
    return new ControlService(
        SELF,
        leader,
        new EntryRegistry(),
        clocks,
        new ServerDirectory(),
        new WindowCounts(),
        new TrueTime(clocks),
        new FleetLoad(),
        new PartQuarantine(),
        new StreamRecorder(leader, new TrueTime(clocks)));
  }

  @Provide
  Arbitrary<ControlRequest> reads() {
    return Arbitraries.of(
        Stream.of(new ControlRequest.ReadGatewayConfig(), new ControlRequest.AwaitInForce(1, 1))
            .toList());
  }

  /** Guards against an older configuration that is read back from a voter that was the leader. */
  @Property
  void voterWithoutTheLeaseNamesTheLeader(@ForAll("reads") ControlRequest read) {
    leader.lease = false;
    assertThat(service.handle(read).block(LIMIT)).isEqualTo(leaderIsSuccessor());
  }

  /** Guards against an older configuration that is read back when the lease ends meanwhile. */
  @Property
  void leaseIsCheckedAfterTheStateWasRead(@ForAll("reads") ControlRequest read) {
    leader.lease = true;
    leader.leaseEndsWithNextLook = true;
    assertThat(service.handle(read).block(LIMIT)).isEqualTo(leaderIsSuccessor());
  }

  private static ControlReply leaderIsSuccessor() {
    return new ControlReply.NotLeader(Optional.of(SUCCESSOR), List.of());
  }

  /** Holds the state as of the time at which it lost its lease. */
  private static final class ReplacedLeader implements ReplicatedState {
    private final ControlState state = new ControlState();
    private boolean lease;
    private boolean leaseEndsWithNextLook;

    @Override
    public CompletableFuture<CommandResult> submit(Command command) {
      throw new AssertionError("Nothing is written.");
    }

    @Override
    public CompletableFuture<CommandResult> submit(VersionNote note) {
      throw new AssertionError("Nothing is written.");
    }

    @Override
    public <T> CompletableFuture<T> read(Function<ControlState, T> query) {
      return CompletableFuture.completedFuture(query.apply(state));
    }

    @Override
    public void onViewChanged(Runnable listener) {}

    @Override
    public Status status() {
      return new Status(
          Role.FOLLOWER,
          2,
          Optional.of(SUCCESSOR),
          Long.MIN_VALUE,
          0,
          0,
          1,
          new Membership(List.of()));
    }

    @Override
    public long publishedRevision() {
      return state.view().revision();
    }

    @Override
    public boolean holdsLease() {
      boolean held = lease;
      lease &= !leaseEndsWithNextLook;
      return held;
    }
  }
}
