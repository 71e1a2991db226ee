package org.endivemux.control.voter;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Tracks after which time each backend server began to leave: when it was last read as not leaving,
 * less the lag of the platform's list.
 *
 * <p>Invariants: that time is never later than the moment at which the platform could first list
 * the server as leaving, and stays the same while it leaves; a server that was never read as not
 * leaving has a time only if an earlier leader has recorded one. Times are true time in Unix
 * milliseconds. Not thread-safe.
 */
final class LeavingTimes {
  private final long listLagMillis;
  private final Map<BackendServerId, Long> lastSoundMillis = new HashMap<>();
  private final Map<BackendServerId, Long> sinceMillis = new HashMap<>();

  /**
   * @param listLag by how much a reading of the platform's list may be out of date
   */
  LeavingTimes(Duration listLag) {
    this.listLagMillis = listLag.toMillis();
  }

  /** Forgets everything, since a new term begins. */
  void clear() {
    lastSoundMillis.clear();
    sinceMillis.clear();
  }

  /**
   * Updates the times from a reading.
   *
   * @param askedAtMillis when the list was asked for; empty while that is not known well enough, so
   *     that no server gets a time
   * @param recorded times that earlier leaders recorded
   */
  void read(
      List<GatewayServer> servers,
      OptionalLong askedAtMillis,
      Map<BackendServerId, Long> recorded) {
    retainListed(servers);
    servers.forEach(server -> update(server, askedAtMillis, recorded));
  }

  private void retainListed(List<GatewayServer> servers) {
    var listed = servers.stream().map(GatewayServer::id).collect(Collectors.toSet());
    lastSoundMillis.keySet().retainAll(listed);
    sinceMillis.keySet().retainAll(listed);
  }

  private void update(
      GatewayServer server, OptionalLong askedAtMillis, Map<BackendServerId, Long> recorded) {
    BackendServerId id = server.id();
    if (!server.leaving()) {
      askedAtMillis.ifPresent(askedAt -> lastSoundMillis.put(id, askedAt - listLagMillis));
      sinceMillis.remove(id);
    } else if (lastSoundMillis.containsKey(id)) {
      began(id);
    } else if (askedAtMillis.isPresent() && recorded.containsKey(id)) {
      sinceMillis.putIfAbsent(id, recorded.get(id));
    }
  }

  /** Records that servers said themselves that they leave. */
  void told(Collection<BackendServerId> servers) {
    servers.stream().filter(lastSoundMillis::containsKey).forEach(this::began);
  }

  private void began(BackendServerId id) {
    sinceMillis.putIfAbsent(id, lastSoundMillis.get(id));
  }

  /** Returns the time after which a server began to leave; 0 if it is not known. */
  long since(BackendServerId id) {
    return sinceMillis.getOrDefault(id, 0L);
  }

  /** Returns the known times of all servers that leave. */
  Map<BackendServerId, Long> known() {
    return Map.copyOf(sinceMillis);
  }
}
