package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.platform.standin.CallerStandIn;
import org.endivemux.platform.standin.StreamingEngineStandIn;

/** Resumes streams at entries that were killed or stood still, while two versions serve. */
final class StreamReleaseTest {
  private static final int STREAMS = 16;
  private static final int PROBES = 12;
  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\w+)\n\n");

  private static final Pattern EVENT_VERSION = Pattern.compile("data: (v\\d)");

  /** Longer than all steps before the resumptions take on a slow machine. */
  private static final Duration DRAIN = Duration.ofSeconds(20);

  /** By this event, 30 ms each, the entry has polled and the leader has committed the start. */
  private static final int RECORDED_EVENTS = 30;

  private final List<StreamingEngineStandIn> engines =
      List.of(engine("a", "v1"), engine("b", "v1"), engine("c", "v2"), engine("d", "v2"));

  /** What a caller has of a stream: the versions of its events and the last event's number. */
  private record Stream(String firstAttempt, Set<String> versions, int last) {
    static Stream of(String firstAttempt, String received) {
      List<MatchResult> events = EVENT.matcher(received).results().toList();
      return new Stream(
          firstAttempt,
          events.stream().map(event -> event.group(2)).collect(Collectors.toSet()),
          events.isEmpty() ? 0 : Integer.parseInt(events.get(events.size() - 1).group(1)));
    }

    boolean isOf(String version) {
      return versions.equals(Set.of(version));
    }
  }

  /** What the resumption of a stream got. */
  private record Resumption(Stream before, int status, Stream after) {
    static Resumption of(Stream before, String received) {
      String status = received.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
      return new Resumption(
          before, Integer.parseInt(status), Stream.of(before.firstAttempt(), received));
    }

    boolean goesOn() {
      return status == 200 && after.last() == StreamingEngineStandIn.EVENTS;
    }
  }

  private static StreamingEngineStandIn engine(String id, String version) {
    return new StreamingEngineStandIn("i-" + id, version);
  }

  /**
   * Guards against a stream that is joined from two versions after the entry that began it was
   * lost, and against resumptions that are refused although their version serves.
   */
  @Example
  void streamsGoOnAtTheirVersionAfterAllEntriesWereKilled() {
    try (GatewayFleet fleet = new GatewayFleet(2, 2)) {
      // A stream may be resumed for twice as long, however slow the machine is.
      fleet.operator.streamTimeoutMillis(30_000);
      fleet.start();
      list(fleet, engine -> true);
      Await.until("both versions serve", () -> versionsServed(fleet).size() == 2);

      List<Stream> streams = brokenStreams(fleet);
      List<Resumption> resumptions = resume(fleet, streams);
      list(fleet, engine -> engine.version().equals("v2"));
      Await.until("the old version has left", () -> versionsServed(fleet).equals(Set.of("v2")));
      List<Resumption> late = resume(fleet, streams);

      assertThat(streams).allMatch(it -> it.versions().size() == 1 && it.last() >= RECORDED_EVENTS);
      assertThat(streams).anyMatch(it -> it.isOf("v1")).anyMatch(it -> it.isOf("v2"));
      assertThat(resumptions).allMatch(Resumption::goesOn);
      assertThat(resumptions).allMatch(it -> it.after().versions().equals(it.before().versions()));
      assertThat(late)
          .allMatch(it -> it.before().isOf("v1") ? it.status() == 503 : it.goesOn())
          .filteredOn(Resumption::goesOn)
          .allMatch(it -> it.after().isOf("v2"));
    } finally {
      engines.forEach(StreamingEngineStandIn::close);
    }
  }

  /**
   * Guards against a stream of a new version that goes on at an old one, since the entry that
   * resumes it stood still while the new version joined.
   */
  @Example
  void streamsGoOnAtTheirVersionAtAnEntryThatStoodStill() {
    try (GatewayFleet fleet = new GatewayFleet(2, 2)) {
      fleet.operator.streamTimeoutMillis(30_000);
      fleet.start();
      list(fleet, engine -> engine.version().equals("v1"));
      Await.until("the old version serves", () -> versionsServed(fleet).equals(Set.of("v1")));

      fleet.entries.get(1).freeze();
      list(fleet, engine -> true);
      Await.until("the new version serves", () -> versionsServedAt(fleet, 0).size() == 2);
      List<Stream> streams = abandonedStreams(fleet, 0);
      List<RawCall> calls =
          streams.stream().map(it -> sendResumption(fleet, 1, it)).collect(Collectors.toList());
      fleet.entries.get(1).thaw();
      List<Resumption> resumptions = read(streams, calls);
      Await.until("the entry is in contact", () -> versionsServedAt(fleet, 1).size() == 2);
      List<Resumption> late = streams.parallelStream().map(it -> resume(fleet, 1, it)).toList();

      assertThat(streams).anyMatch(it -> it.isOf("v1")).anyMatch(it -> it.isOf("v2"));
      assertThat(resumptions)
          .allMatch(
              it -> it.status() == 503 || it.after().versions().equals(it.before().versions()));
      assertThat(late)
          .allMatch(Resumption::goesOn)
          .allMatch(it -> it.after().versions().equals(it.before().versions()));
    } finally {
      engines.forEach(StreamingEngineStandIn::close);
    }
  }

  /**
   * Guards against resumptions that are refused although servers of their version drain and still
   * serve, and against requests that reach these servers after their drain.
   */
  @Example
  void streamsGoOnWhileTheirVersionDrainsAndNotAfterwards() {
    try (GatewayFleet fleet = new GatewayFleet(2, 2)) {
      fleet.operator.streamTimeoutMillis(60_000);
      fleet.serverDrain(DRAIN);
      fleet.start();
      list(fleet, engine -> true);
      Await.until("both versions serve", () -> versionsServed(fleet).size() == 2);
      List<Stream> streams =
          abandonedStreams(fleet, 0).stream()
              .filter(it -> it.last() >= RECORDED_EVENTS - 1)
              .toList();

      listOldAsDraining(fleet);
      long listedAt = System.nanoTime();
      Await.until("no new stream begins at v1", () -> versionsServed(fleet).equals(Set.of("v2")));
      fleet.entries.get(0).kill();
      List<Resumption> drained = streams.parallelStream().map(it -> resume(fleet, 1, it)).toList();
      Await.until("the drain is over", () -> System.nanoTime() - listedAt > DRAIN.toNanos());
      List<Resumption> late = streams.parallelStream().map(it -> resume(fleet, 1, it)).toList();

      assertThat(streams).anyMatch(it -> it.isOf("v1")).anyMatch(it -> it.isOf("v2"));
      assertThat(drained).allMatch(Resumption::goesOn);
      assertThat(drained).allMatch(it -> it.after().versions().equals(it.before().versions()));
      assertThat(late).allMatch(it -> it.before().isOf("v1") ? it.status() == 503 : it.goesOn());
      assertThat(engines)
          .filteredOn(engine -> engine.version().equals("v1"))
          .allMatch(engine -> engine.lastArrivalNanos() - listedAt < DRAIN.toNanos());
    } finally {
      engines.forEach(StreamingEngineStandIn::close);
    }
  }

  private void listOldAsDraining(GatewayFleet fleet) {
    fleet.platform.updateServers(
        engines.stream()
            .map(
                engine ->
                    engine.version().equals("v1")
                        ? engine.drainingItem("llm", "d0")
                        : engine.listItem("llm", "d0"))
            .toList());
  }

  /** Begins streams at an entry; their callers leave early or late in their streams. */
  private static List<Stream> abandonedStreams(GatewayFleet fleet, int entry) {
    return IntStream.range(0, STREAMS)
        .parallel()
        .mapToObj(
            i -> {
              String attempt = "abandoned" + i;
              int events = i % 2 == 0 ? 2 : RECORDED_EVENTS;
              String text = call(fleet, entry, attempt, "", "id: " + events + "\n");
              return Stream.of(attempt, text);
            })
        .toList();
  }

  private static List<Resumption> read(List<Stream> streams, List<RawCall> calls) {
    return IntStream.range(0, streams.size())
        .parallel()
        .mapToObj(i -> read(streams.get(i), calls.get(i)))
        .toList();
  }

  private static Resumption read(Stream stream, RawCall call) {
    try (call) {
      return Resumption.of(stream, call.readUntil("no such text"));
    }
  }

  private void list(GatewayFleet fleet, Predicate<StreamingEngineStandIn> isListed) {
    fleet.platform.updateServers(
        engines.stream().filter(isListed).map(engine -> engine.listItem("llm", "d0")).toList());
  }

  /** Returns the versions that some new streams get. */
  private static Set<String> versionsServed(GatewayFleet fleet) {
    return IntStream.range(0, fleet.entries.size())
        .mapToObj(entry -> versionsServedAt(fleet, entry))
        .flatMap(Set::stream)
        .collect(Collectors.toSet());
  }

  private static Set<String> versionsServedAt(GatewayFleet fleet, int entry) {
    return IntStream.range(0, PROBES)
        .parallel()
        .mapToObj(i -> call(fleet, entry, "probe" + System.nanoTime(), "", "id: 2\n"))
        .flatMap(text -> EVENT_VERSION.matcher(text).results())
        .map(version -> version.group(1))
        .collect(Collectors.toSet());
  }

  /** Begins streams at all entries, kills these in mid-stream and starts them again. */
  private static List<Stream> brokenStreams(GatewayFleet fleet) {
    CountDownLatch recorded = new CountDownLatch(STREAMS);
    return inParallel(
        i -> {
          String attempt = "first" + i;
          try (RawCall call = send(fleet, i, attempt, "")) {
            String begin = call.readUntil("id: " + RECORDED_EVENTS + "\n");
            recorded.countDown();
            Await.until("all streams are recorded", () -> recorded.getCount() == 0);
            killOnce(fleet);
            return Stream.of(attempt, begin + call.readUntil("no such text"));
          }
        },
        fleet);
  }

  private static synchronized void killOnce(GatewayFleet fleet) {
    if (fleet.entries.stream().allMatch(Vm::isRunning)) {
      fleet.entries.forEach(Vm::kill);
    }
  }

  private static List<Stream> inParallel(IntFunction<Stream> begin, GatewayFleet fleet) {
    ExecutorService threads = Executors.newFixedThreadPool(STREAMS);
    List<CompletableFuture<Stream>> begun =
        IntStream.range(0, STREAMS)
            .mapToObj(i -> CompletableFuture.supplyAsync(() -> begin.apply(i), threads))
            .toList();
    List<Stream> streams = begun.stream().map(CompletableFuture::join).toList();
    threads.shutdown();
    fleet.entries.forEach(Vm::start);
    fleet.awaitReady();
    return streams;
  }

  private static List<Resumption> resume(GatewayFleet fleet, List<Stream> streams) {
    return IntStream.range(0, streams.size())
        .parallel()
        .mapToObj(i -> resume(fleet, i + 1, streams.get(i)))
        .toList();
  }

  private static Resumption resume(GatewayFleet fleet, int entry, Stream stream) {
    return read(stream, sendResumption(fleet, entry, stream));
  }

  private static RawCall sendResumption(GatewayFleet fleet, int entry, Stream stream) {
    String headers =
        "Resumes: " + stream.firstAttempt() + "\r\nLast-Event-Id: " + stream.last() + "\r\n";
    return send(fleet, entry, "again" + System.nanoTime(), headers);
  }

  private static String call(
      GatewayFleet fleet, int entry, String attempt, String headers, String until) {
    try (RawCall call = send(fleet, entry, attempt, headers)) {
      return call.readUntil(until);
    }
  }

  private static RawCall send(GatewayFleet fleet, int entry, String attempt, String headers) {
    Vm target = fleet.entries.get(entry % fleet.entries.size());
    return RawCall.send(
        fleet.callersSocket(target), CallerStandIn.rawStreamRequest(attempt, headers));
  }
}
