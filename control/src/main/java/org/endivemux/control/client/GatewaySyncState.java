package org.endivemux.control.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.endivemux.control.message.ControlReply.GatewayPollReply;
import org.endivemux.control.message.ControlRequest.GatewayPoll;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.WindowCount;

/**
 * Keeps what a gateway exchanges with the leader: the list of backend servers, true time, and the
 * counts of recent usage windows.
 *
 * <p>Invariants: counts are running totals and only grow; a list replaces the one before whole.
 * Thread-safe.
 */
public final class GatewaySyncState {
  private static final int WINDOWS_KEPT = 8;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** An estimate this much behind the best one is a late message, not another clock. */
  private static final long LATE_MILLIS = 30;

  private final Clocks clocks;
  private final long windowMillis;
  private final Supplier<List<ServiceLoad>> loads;
  private final Supplier<List<InFlightAt>> inFlight;
  private final TreeMap<Long, Map<OrganisationId, Long>> windows = new TreeMap<>();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<List<InFlightAt>>> loadListeners = new CopyOnWriteArrayList<>();
  private List<GatewayServer> servers = List.of();
  private long serversNumber;
  private long heardAt;
  private long offsetMillis;
  private boolean hasOffset;

  /**
   * @param loads gives the requests that this process has for each service
   * @param inFlight gives what it has in flight at each backend server
   */
  public GatewaySyncState(
      Clocks clocks,
      long windowMillis,
      Supplier<List<ServiceLoad>> loads,
      Supplier<List<InFlightAt>> inFlight) {
    this.clocks = clocks;
    this.windowMillis = windowMillis;
    this.loads = loads;
    this.inFlight = inFlight;
    this.heardAt = clocks.nanos();
  }

  /** Returns the best known true time in Unix milliseconds. */
  public synchronized long trueMillis() {
    return hasOffset ? clocks.nanos() / NANOS_PER_MILLI + offsetMillis : clocks.millis();
  }

  /** Counts a request that countStarted to run some time ago. */
  public synchronized void countStarted(OrganisationId organisation, long agoMillis) {
    long window = (trueMillis() - agoMillis) / windowMillis;
    windows.computeIfAbsent(window, none -> new HashMap<>()).merge(organisation, 1L, Long::sum);
    while (windows.size() > WINDOWS_KEPT) {
      windows.pollFirstEntry();
    }
  }

  GatewayPoll poll() {
    List<ServiceLoad> presentLoads = loads.get();
    List<InFlightAt> presentInFlight = inFlight.get();
    return poll(presentLoads, presentInFlight);
  }

  private synchronized GatewayPoll poll(
      List<ServiceLoad> presentLoads, List<InFlightAt> presentInFlight) {
    List<WindowCount> counts =
        windows.entrySet().stream()
            .flatMap(
                window ->
                    window.getValue().entrySet().stream()
                        .map(e -> new WindowCount(window.getKey(), e.getKey(), e.getValue())))
            .toList();
    return new GatewayPoll(serversNumber, counts, clocks.millis(), presentLoads, presentInFlight);
  }

  void take(GatewayPollReply news) {
    boolean changed = news.servers().isPresent();
    synchronized (this) {
      heardAt = clocks.nanos();
      noteTime(news.millis() - heardAt / NANOS_PER_MILLI);
      serversNumber = news.serversNumber();
      List<GatewayServer> known = servers;
      servers = news.servers().map(update -> update.applyTo(known)).orElse(known);
    }
    news.inFlight().ifPresent(others -> loadListeners.forEach(it -> it.accept(others)));
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }

  private void noteTime(long offset) {
    boolean merelyLate = hasOffset && offset < offsetMillis && offset > offsetMillis - LATE_MILLIS;
    if (!merelyLate) {
      offsetMillis = offset;
      hasOffset = true;
    }
  }

  /** Takes over a list that this process read from the platform itself. */
  public void replaceServers(List<GatewayServer> read) {
    synchronized (this) {
      servers = List.copyOf(read);
      serversNumber = -1;
    }
    listeners.forEach(Runnable::run);
  }

  /** Returns the backend servers as last heard. */
  public synchronized List<GatewayServer> servers() {
    return servers;
  }

  /** Returns how long no leader has been heard, in nanoseconds. */
  public synchronized long nanosSinceLeaderHeard() {
    return clocks.nanos() - heardAt;
  }

  /** Calls back with what all other entries have in flight; the listener must not block. */
  public void onFleetLoad(Consumer<List<InFlightAt>> listener) {
    loadListeners.add(listener);
  }

  /** Calls back whenever the list of backend servers changes; the listener must not block. */
  public void onServersChanged(Runnable listener) {
    listeners.add(listener);
  }
}
