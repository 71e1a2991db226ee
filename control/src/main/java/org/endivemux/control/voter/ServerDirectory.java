package org.endivemux.control.voter;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListUpdate;

/**
 * Keeps the platform's list of backend servers as one leader last read it, and the lists before it.
 *
 * <p>Soft state: a new term starts without a list. Invariant: a number stands for one list. Thread-
 * safe.
 */
public final class ServerDirectory {
  private static final long NUMBERS_PER_TERM = 1_000_000L;

  /** An asker that missed more changes gets the whole list. */
  private static final int LISTS_KEPT = 16;

  private final TreeMap<Long, List<GatewayServer>> lists = new TreeMap<>();

  /** Updates to the present list by the number that they start from. */
  private final Map<Long, ServerListUpdate> updates = new HashMap<>();

  private List<GatewayServer> servers = List.of();
  private long term = -1;
  private long changes;

  /** Takes over a list; returns whether it differs from the one before. */
  synchronized boolean replace(long newTerm, List<GatewayServer> read) {
    List<GatewayServer> ordered =
        read.stream().sorted(Comparator.comparing(GatewayServer::id)).toList();
    boolean changed = newTerm != term || !servers.equals(ordered);
    if (changed) {
      if (newTerm != term) {
        lists.clear();
      }
      changes = newTerm == term ? changes + 1 : 1;
      term = newTerm;
      servers = ordered;
      updates.clear();
      lists.put(number(term), ordered);
      while (lists.size() > LISTS_KEPT) {
        lists.pollFirstEntry();
      }
    }
    return changed;
  }

  /** Returns the number of the present list of a term; 0 while it has none. */
  synchronized long number(long ofTerm) {
    return ofTerm == term ? term * NUMBERS_PER_TERM + changes : 0;
  }

  /** Returns what the asker's list lacks of a term's, unless it has that list. */
  synchronized Optional<ServerListUpdate> unless(long ofTerm, long knownNumber) {
    long number = number(ofTerm);
    return number == 0 || number == knownNumber
        ? Optional.empty()
        : Optional.of(updates.computeIfAbsent(knownNumber, this::updateFrom));
  }

  private ServerListUpdate updateFrom(long knownNumber) {
    return Optional.ofNullable(lists.get(knownNumber))
        .map(known -> ServerListUpdate.between(known, servers))
        .orElseGet(() -> ServerListUpdate.whole(servers));
  }

  /** Returns the present list. */
  public synchronized List<GatewayServer> servers() {
    return servers;
  }
}
