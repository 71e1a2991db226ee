package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.endivemux.control.message.ControlRequest.FindStreamVersion;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamStarts;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Checks when a leader commits which versions serve and began streams. */
final class StreamRecorderTest {
  private static final ServiceName SERVICE = new ServiceName("llm");
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v2");
  private static final long LIFETIME_MILLIS = 20_000;

  private final VirtualTimeScheduler time = VirtualTimeScheduler.getOrSet();
  private final Clocks clocks =
      new Clocks(() -> time.now(TimeUnit.NANOSECONDS), () -> time.now(TimeUnit.MILLISECONDS));
  private final CommittingState leader = new CommittingState(clocks);
  private final StreamRecorder recorder = new StreamRecorder(leader, new TrueTime(clocks));

  @AfterTry
  void stop() {
    VirtualTimeScheduler.reset();
  }

  private static GatewayServer server(String id, SoftwareVersion version) {
    return new GatewayServer(
            new BackendServerId(id),
            SERVICE,
            id + ":1",
            new FailureDomain("d"),
            4,
            false,
            ServerKind.STEADY)
        .withVersion(Optional.of(version));
  }

  /** Returns whether a list of the given versions may be published now. */
  private boolean mayPublish(long term, SoftwareVersion... versions) {
    AtomicBoolean published = new AtomicBoolean();
    List<GatewayServer> servers =
        IntStream.range(0, versions.length).mapToObj(i -> server("s" + i, versions[i])).toList();
    recorder.noteListed(term, servers).subscribe(nothing -> {}, null, () -> published.set(true));
    return published.get();
  }

  /** Guards against streams of a version before the log knows that it serves. */
  @Example
  void listWithANewVersionWaitsForItsCommit() {
    assertThat(mayPublish(1, OLD)).isTrue();
    leader.isStalled = true;
    assertThat(mayPublish(1, OLD, NEW)).isFalse();
  }

  /** Guards against leaving servers that entries learn of late, as the disks of voters stall. */
  @Example
  void listWithoutANewVersionDoesNotWaitForACommit() {
    assertThat(mayPublish(1, OLD, NEW)).isTrue();
    leader.isStalled = true;
    time.advanceTimeBy(Duration.ofMinutes(1));
    assertThat(mayPublish(1, OLD, NEW)).isTrue();
    assertThat(mayPublish(1, NEW)).isTrue();
    assertThat(mayPublish(2, OLD)).isTrue();
  }

  /** Guards against a log entry for each poll of each entry. */
  @Example
  void reportsOfManyEntriesAreOneLogEntry() {
    IntStream.range(0, 50).forEach(i -> recorder.add(List.of(starts("a" + i))));
    time.advanceTimeBy(Duration.ofSeconds(1));
    assertThat(leader.notes).hasSize(1);
    assertThat(leader.notes.get(0).starts()).hasSize(1);
    assertThat(leader.notes.get(0).starts().get(0).streams()).hasSize(50);
  }

  /** Guards against a resumption that is refused although the leader has heard of the stream. */
  @Example
  void streamIsFoundBeforeItsCommit() {
    recorder.add(List.of(starts("a")));
    FindStreamVersion request =
        new FindStreamVersion(SERVICE, Optional.of(StreamKey.of("a")), LIFETIME_MILLIS);
    assertThat(recorder.find(leader.state.streamVersions(), request).version()).hasValue(OLD);
    leader.isStalled = true;
    time.advanceTimeBy(Duration.ofSeconds(1));
    assertThat(recorder.find(leader.state.streamVersions(), request).version()).hasValue(OLD);
  }

  private static StreamStarts starts(String attempt) {
    return new StreamStarts(SERVICE, OLD, LIFETIME_MILLIS, List.of(StreamKey.of(attempt)));
  }
}
