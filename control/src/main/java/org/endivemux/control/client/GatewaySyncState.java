package org.endivemux.control.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.endivemux.control.message.ControlReply.GatewayPollReply;
import org.endivemux.control.message.ControlRequest.GatewayPoll;
import org.endivemux.control.voter.Clocks;
import org.endivemux.control.voter.SteadyWallClock;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.crash.PartVerdicts;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListUpdate;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.WindowCount;

/**
 * Holds what a gateway exchanges with the leader: the list of backend servers, the estimate of true
 * time, and the request counts of recent usage windows.
 *
 * <p>Invariants: the counts are running totals and never decrease; the list is one that the leader
 * numbered, or one that this process read itself and that has no number. Thread-safe.
 */
public final class GatewaySyncState {
  private static final int MAX_RETAINED_WINDOWS = 8;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * An estimate that is behind the best one by less than this is attributed to a delayed message,
   * one that is further behind to a different clock.
   */
  private static final long MAX_MESSAGE_DELAY_MILLIS = 30;

  private final Clocks clocks;
  private final SteadyWallClock wallClock;
  private final long windowMillis;
  private final Supplier<List<ServiceLoad>> loads;
  private final Supplier<List<InFlightAt>> inFlight;
  private final Supplier<List<BackendServerId>> leaving;
  private final Supplier<List<BackendServerId>> refusing;
  private final Supplier<CrashNews> crashes;
  private final Supplier<List<SpeedAt>> speeds;
  private final StreamLedger streams;
  private final TreeMap<Long, Map<OrganisationId, Long>> windows = new TreeMap<>();
  private final List<Runnable> serverListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<List<InFlightAt>>> loadListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<List<SpeedAt>>> speedListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<PartVerdicts>> verdictListeners = new CopyOnWriteArrayList<>();
  private List<GatewayServer> servers = List.of();
  private long serversNumber;
  private long leaderHeardAtNanos;
  private long offsetMillis;
  private boolean hasOffset;

  /**
   * @param loads returns the number of requests that this process has for each service
   * @param inFlight returns what this process has in flight at each backend server
   * @param leaving returns the backend servers that told this process that they leave
   * @param crashes returns what this process knows of crashes of backend servers
   * @param speeds returns the next samples of server speeds to share
   * @param refusing returns the backend servers with a warm-up that refused connections lately
   * @param streams the streams that this process has begun
   */
  public GatewaySyncState(
      Clocks clocks,
      long windowMillis,
      Supplier<List<ServiceLoad>> loads,
      Supplier<List<InFlightAt>> inFlight,
      Supplier<List<BackendServerId>> leaving,
      Supplier<CrashNews> crashes,
      Supplier<List<SpeedAt>> speeds,
      Supplier<List<BackendServerId>> refusing,
      StreamLedger streams) {
    this.clocks = clocks;
    this.wallClock = new SteadyWallClock(clocks);
    this.windowMillis = windowMillis;
    this.loads = loads;
    this.inFlight = inFlight;
    this.leaving = leaving;
    this.crashes = crashes;
    this.speeds = speeds;
    this.refusing = refusing;
    this.streams = streams;
    this.leaderHeardAtNanos = clocks.nanos();
  }

  /**
   * Creates the state of a process that measures no server speeds and knows no warm-ups, with a
   * ledger of its own.
   */
  public GatewaySyncState(
      Clocks clocks,
      long windowMillis,
      Supplier<List<ServiceLoad>> loads,
      Supplier<List<InFlightAt>> inFlight,
      Supplier<List<BackendServerId>> leaving,
      Supplier<CrashNews> crashes) {
    this(
        clocks,
        windowMillis,
        loads,
        inFlight,
        leaving,
        crashes,
        List::of,
        List::of,
        new StreamLedger(clocks::nanos));
  }

  /** Returns the best estimate of true time in Unix milliseconds. */
  public synchronized long trueMillis() {
    return hasOffset ? clocks.nanos() / NANOS_PER_MILLI + offsetMillis : wallClock.millis();
  }

  /** Counts a request that started to run {@code agoMillis} ago. */
  public synchronized void countStarted(OrganisationId organisation, long agoMillis) {
    long window = (trueMillis() - agoMillis) / windowMillis;
    windows.computeIfAbsent(window, none -> new HashMap<>()).merge(organisation, 1L, Long::sum);
    while (windows.size() > MAX_RETAINED_WINDOWS) {
      windows.pollFirstEntry();
    }
  }

  GatewayPoll poll() {
    List<ServiceLoad> currentLoads = loads.get();
    List<InFlightAt> currentInFlight = inFlight.get();
    return poll(
        currentLoads, currentInFlight, leaving.get(), crashes.get(), speeds.get(), refusing.get());
  }

  private synchronized GatewayPoll poll(
      List<ServiceLoad> currentLoads,
      List<InFlightAt> currentInFlight,
      List<BackendServerId> currentLeaving,
      CrashNews currentCrashes,
      List<SpeedAt> currentSpeeds,
      List<BackendServerId> currentRefusing) {
    List<WindowCount> counts =
        windows.entrySet().stream()
            .flatMap(
                window ->
                    window.getValue().entrySet().stream()
                        .map(e -> new WindowCount(window.getKey(), e.getKey(), e.getValue())))
            .toList();
    return new GatewayPoll(
        serversNumber,
        counts,
        wallClock.millis(),
        currentLoads,
        currentInFlight,
        currentLeaving,
        currentCrashes,
        currentSpeeds,
        currentRefusing,
        streams.unreported());
  }

  /**
   * Applies a leader's reply.
   *
   * @param poll what the reply answers
   */
  void applyReply(GatewayPoll poll, GatewayPollReply reply) {
    boolean changed;
    synchronized (this) {
      leaderHeardAtNanos = clocks.nanos();
      updateOffset(reply.millis() - leaderHeardAtNanos / NANOS_PER_MILLI);
      changed = updateServers(poll, reply);
    }
    streams.reported(poll.streams());
    reply
        .inFlight()
        .ifPresent(others -> loadListeners.forEach(listener -> listener.accept(others)));
    if (!reply.speeds().isEmpty()) {
      speedListeners.forEach(listener -> listener.accept(reply.speeds()));
    }
    reply
        .verdicts()
        .ifPresent(verdicts -> verdictListeners.forEach(listener -> listener.accept(verdicts)));
    if (changed) {
      serverListeners.forEach(Runnable::run);
    }
  }

  /**
   * Updates the list; returns whether a newer one was applied. A difference is from the list that
   * the poll named, so it says nothing about one that has replaced it since.
   */
  private boolean updateServers(GatewayPoll poll, GatewayPollReply reply) {
    Optional<ServerListUpdate> update = reply.servers();
    boolean isWhole = update.filter(ServerListUpdate::whole).isPresent();
    if (!isWhole && poll.serversNumber() != serversNumber) {
      return false;
    }
    serversNumber = reply.serversNumber();
    List<GatewayServer> previous = servers;
    servers = update.map(changes -> changes.applyTo(previous)).orElse(previous);
    return update.isPresent();
  }

  private void updateOffset(long offset) {
    boolean isDelayedMessage =
        hasOffset && offset < offsetMillis && offset > offsetMillis - MAX_MESSAGE_DELAY_MILLIS;
    if (!isDelayedMessage) {
      offsetMillis = offset;
      hasOffset = true;
    }
  }

  /** Replaces the list by one that this process has read from the platform itself. */
  public void replaceServers(List<GatewayServer> read) {
    synchronized (this) {
      servers = List.copyOf(read);
      serversNumber = -1;
    }
    serverListeners.forEach(Runnable::run);
  }

  /** Returns the latest list of backend servers. */
  public synchronized List<GatewayServer> servers() {
    return servers;
  }

  /** Returns the time since the last reply of a leader, in nanoseconds. */
  public synchronized long nanosSinceLeaderHeard() {
    return clocks.nanos() - leaderHeardAtNanos;
  }

  /** Adds a listener for what all other entries have in flight; it must not block. */
  public void onFleetLoad(Consumer<List<InFlightAt>> listener) {
    loadListeners.add(listener);
  }

  /** Adds a listener for sums of the speed samples of all entries; it must not block. */
  public void onSpeeds(Consumer<List<SpeedAt>> listener) {
    speedListeners.add(listener);
  }

  /** Adds a listener for the leader's verdicts about prompt parts; it must not block. */
  public void onVerdicts(Consumer<PartVerdicts> listener) {
    verdictListeners.add(listener);
  }

  /** Adds a listener for changes of the list of backend servers; it must not block. */
  public void onServersChanged(Runnable listener) {
    serverListeners.add(listener);
  }
}
