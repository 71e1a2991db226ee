package org.endivemux.control.voter;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.control.message.ControlReply.StreamVersionFound;
import org.endivemux.control.message.ControlRequest.FindStreamVersion;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.StreamVersions;
import org.endivemux.control.state.VersionNote;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamOriginSource;
import org.endivemux.model.gateway.StreamStarts;
import reactor.core.publisher.Mono;

/**
 * Commits which software versions are listed and which version began each stream.
 *
 * <p>Invariants: the streams that all entries report within {@link #COMMIT_DELAY} are one log
 * entry; what has not been committed yet is known to this leader; a version that the state does not
 * list is committed before a list with it is published. Thread-safe.
 */
public final class StreamRecorder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration COMMIT_DELAY = Duration.ofMillis(200);

  /** Streams of half a minute of a fleet at its largest; further ones are not recorded. */
  private static final int MAX_PENDING = 120_000;

  /** How often unchanged versions are noted, well within the gap that makes them unknown. */
  private static final long NOTE_INTERVAL_MILLIS = StreamVersions.MAX_GAP_MILLIS / 3;

  private final ReplicatedState voter;
  private final TrueTime time;
  private final List<StreamStarts> pending = new ArrayList<>();
  private List<StreamStarts> committing = List.of();
  private int pendingCount;
  private boolean isScheduled;
  private long notedTerm = -1;
  private long notedAtMillis;
  private Map<ServiceName, List<SoftwareVersion>> noted = Map.of();

  public StreamRecorder(ReplicatedState voter, TrueTime time) {
    this.voter = voter;
    this.time = time;
  }

  /** Adds streams that an entry reports; they are committed soon. */
  void add(Collection<StreamStarts> starts) {
    if (!starts.isEmpty() && addAndCheckDue(starts)) {
      var unused = Mono.delay(COMMIT_DELAY).subscribe(tick -> commit());
    }
  }

  /** Adds streams; returns whether a commit has to be scheduled. */
  private synchronized boolean addAndCheckDue(Collection<StreamStarts> starts) {
    if (pendingCount >= MAX_PENDING) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("event=streams_not_recorded");
      return false;
    }
    pending.addAll(starts);
    pendingCount += starts.stream().mapToInt(it -> it.streams().size()).sum();
    boolean isDue = !isScheduled;
    isScheduled = true;
    return isDue;
  }

  private void commit() {
    List<StreamStarts> batch = takePending();
    var unused =
        note(Optional.empty(), batch)
            .whenComplete(
                (done, error) -> {
                  if (error != null) {
                    logger.atWarning().log(
                        "event=streams_not_recorded batches=%d cause=\"%s\"", batch.size(), error);
                  }
                });
  }

  private synchronized List<StreamStarts> takePending() {
    committing = StreamStarts.joined(pending);
    pending.clear();
    pendingCount = 0;
    isScheduled = false;
    return committing;
  }

  private CompletableFuture<CommandResult> note(
      Optional<Map<ServiceName, List<SoftwareVersion>>> listed, List<StreamStarts> starts) {
    return voter.submit(new VersionNote(time.millis(), listed, starts));
  }

  /**
   * Notes the versions of the listed servers. Completes when the list may be published: at once
   * unless it has a version that the state does not list, so that a list is not held up by a slow
   * commit without need.
   */
  Mono<Void> noteListed(long term, List<GatewayServer> servers) {
    Map<ServiceName, List<SoftwareVersion>> listed = versions(servers);
    if (isNoted(term, listed)) {
      return Mono.empty();
    }
    return Mono.fromFuture(() -> voter.read(state -> state.streamVersions().lists(listed)))
        .flatMap(
            isKnown -> {
              Mono<Void> committed = commitListed(term, listed);
              return isKnown ? Mono.fromRunnable(() -> inBackground(committed)) : committed;
            });
  }

  private Mono<Void> commitListed(long term, Map<ServiceName, List<SoftwareVersion>> listed) {
    return Mono.fromFuture(() -> note(Optional.of(listed), List.of()))
        .doOnNext(done -> noted(term, listed))
        .then();
  }

  /** Returns since when servers leave, as leaders recorded it, in Unix milliseconds. */
  CompletableFuture<Map<BackendServerId, Long>> recordedLeaving() {
    return voter.read(state -> state.streamVersions().leavingSince());
  }

  /** Records since when servers leave, so that it outlives this leader, if that is new. */
  void noteLeaving(Map<BackendServerId, Long> leaving, Map<BackendServerId, Long> recorded) {
    if (!recorded.entrySet().containsAll(leaving.entrySet())) {
      logger.atInfo().log("event=leaving_noted servers=%s", leaving);
      inBackground(
          Mono.fromFuture(
                  () ->
                      voter.submit(
                          new VersionNote(time.millis(), Optional.empty(), List.of(), leaving)))
              .then());
    }
  }

  private static void inBackground(Mono<Void> commit) {
    var unused =
        commit.subscribe(
            nothing -> {},
            error -> logger.atWarning().log("event=versions_not_noted cause=\"%s\"", error));
  }

  private static Map<ServiceName, List<SoftwareVersion>> versions(List<GatewayServer> servers) {
    Map<ServiceName, TreeSet<String>> byService = new TreeMap<>();
    servers.forEach(
        server ->
            byService
                .computeIfAbsent(server.service(), none -> new TreeSet<>())
                .add(server.version().orElse(SoftwareVersion.UNSTATED).value()));
    return byService.entrySet().stream()
        .collect(
            Collectors.toMap(
                Map.Entry::getKey,
                service -> service.getValue().stream().map(SoftwareVersion::new).toList()));
  }

  private synchronized boolean isNoted(long term, Map<ServiceName, List<SoftwareVersion>> listed) {
    return term == notedTerm
        && listed.equals(noted)
        && time.millis() - notedAtMillis < NOTE_INTERVAL_MILLIS;
  }

  private synchronized void noted(long term, Map<ServiceName, List<SoftwareVersion>> listed) {
    if (term != notedTerm || !listed.equals(noted)) {
      logger.atInfo().log("event=versions_listed term=%d versions=%s", term, listed);
    }
    notedTerm = term;
    noted = listed;
    notedAtMillis = time.millis();
  }

  /** Finds the version that began a stream, in what is not committed yet or in the state. */
  StreamVersionFound find(StreamVersions committed, FindStreamVersion request) {
    Optional<SoftwareVersion> uncommitted = findUncommitted(request);
    if (uncommitted.isPresent()) {
      return new StreamVersionFound(uncommitted, StreamOriginSource.RECORD);
    }
    StreamVersions.Found found =
        committed.find(
            request.service(), request.stream(), request.lifetimeMillis(), time.millis());
    return new StreamVersionFound(found.version(), found.source());
  }

  private synchronized Optional<SoftwareVersion> findUncommitted(FindStreamVersion request) {
    return request.stream()
        .flatMap(
            stream ->
                Stream.concat(pending.stream(), committing.stream())
                    .filter(it -> it.service().equals(request.service()))
                    .filter(it -> it.streams().contains(stream))
                    .map(StreamStarts::version)
                    .findFirst());
  }
}
