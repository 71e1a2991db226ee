package org.endivemux.control.voter;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListing;
import reactor.core.publisher.Mono;

/**
 * Reads the platform's list of backend servers for the leader and publishes it to the entries.
 *
 * <p>Invariants: a version that is new in its service is committed before a list with it is
 * published; no server gets a time since when it leaves before the estimate of true time has
 * settled. Called by one reading at a time; {@link #changedAt} is thread-safe.
 */
final class ServerListReader {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Shorter than the lag of the platform's list, so that the interval adds little to it. */
  private static final long INTERVAL_NANOS = Duration.ofMillis(700).toNanos();

  /**
   * Interval while several versions of a service are listed and the list is calm: the sooner the
   * leader reads that a server leaves, the longer streams of its version may go on there.
   */
  private static final long RELEASE_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

  /**
   * A list that changes at each usual reading is not calm: servers that crash in turn would get
   * requests, and crash again, the sooner it is read.
   */
  private static final long CALM_NANOS = Duration.ofSeconds(1).toNanos();

  /** A longer list takes several calls, whose number the platform limits. */
  private static final int MAX_SERVERS_OF_A_RELEASE_INTERVAL = 100;

  /** A new leader's estimate of true time may be its own clock alone until entries have polled. */
  private static final long TRUE_TIME_SETTLING_NANOS = Duration.ofSeconds(1).toNanos();

  /** Long before any time, and such that a difference to it does not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PlatformPort platform;
  private final ServerDirectory directory;
  private final StreamRecorder streams;
  private final TrueTime time;
  private final Clocks clocks;
  private final Runnable onChanged;
  private volatile long readAt = NEVER;
  private volatile long changedAt = NEVER;

  /**
   * @param onChanged is run after each change of the list
   */
  ServerListReader(
      PlatformPort platform,
      ServerDirectory directory,
      StreamRecorder streams,
      TrueTime time,
      Clocks clocks,
      Runnable onChanged) {
    this.platform = platform;
    this.directory = directory;
    this.streams = streams;
    this.time = time;
    this.clocks = clocks;
    this.onChanged = onChanged;
  }

  /** Returns when the list last changed, in monotonic nanoseconds. */
  long changedAt() {
    return changedAt;
  }

  /** Reads the list if it is time to; {@code leaderSince} is when the leader's term began. */
  Mono<Void> readIfDue(long term, long leaderSince) {
    if (clocks.nanos() - readAt < intervalNanos()) {
      return Mono.empty();
    }
    readAt = clocks.nanos();
    OptionalLong askedAtMillis = trueMillisIfSettled(leaderSince);
    return platform
        .servers()
        .flatMap(
            listing ->
                streams
                    .noteListed(term, directory.complete(term, listing, time.millis()))
                    .then(Mono.fromFuture(streams::recordedLeaving))
                    .doOnNext(recorded -> apply(term, listing, askedAtMillis, recorded)))
        .then();
  }

  private long intervalNanos() {
    boolean isCalm = clocks.nanos() - changedAt > CALM_NANOS;
    boolean isShort = directory.servers().size() <= MAX_SERVERS_OF_A_RELEASE_INTERVAL;
    return isCalm && isShort && directory.hasMixedVersions()
        ? RELEASE_INTERVAL_NANOS
        : INTERVAL_NANOS;
  }

  private OptionalLong trueMillisIfSettled(long leaderSince) {
    boolean isSettled = clocks.nanos() - leaderSince > TRUE_TIME_SETTLING_NANOS;
    return isSettled ? OptionalLong.of(time.millis()) : OptionalLong.empty();
  }

  private void apply(
      long term,
      ServerListing listing,
      OptionalLong askedAtMillis,
      Map<BackendServerId, Long> recordedLeaving) {
    boolean isChanged =
        directory.replace(term, listing, time.millis(), askedAtMillis, recordedLeaving);
    streams.noteLeaving(directory.leavingSince(), recordedLeaving);
    if (isChanged) {
      List<GatewayServer> servers = directory.servers();
      changedAt = clocks.nanos();
      logger.atInfo().log(
          "event=servers_changed term=%d count=%d leaving=%d",
          term, servers.size(), servers.stream().filter(GatewayServer::leaving).count());
      onChanged.run();
    }
  }
}
