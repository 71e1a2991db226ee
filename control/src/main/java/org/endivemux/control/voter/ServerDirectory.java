package org.endivemux.control.voter;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListUpdate;
import org.endivemux.model.gateway.ServerListing;

/**
 * Holds the platform's list of backend servers as the leader last read it, and some earlier lists
 * of the same term.
 *
 * <p>Soft state: a new term starts without a list. Invariant: a list number identifies one list.
 * Thread-safe.
 */
public final class ServerDirectory {
  private static final long NUMBERS_PER_TERM = 1_000_000L;

  /** An entry that missed more changes gets the whole list. */
  private static final int MAX_LISTS = 16;

  /** Well below the lag of the platform's list, during which a refusal matters. */
  private static final long REFUSAL_REPEAT_MILLIS = 500;

  private final TreeMap<Long, List<GatewayServer>> lists = new TreeMap<>();

  /** Updates to the current list, by the number of the list that they apply to. */
  private final Map<Long, ServerListUpdate> updates = new HashMap<>();

  private final Set<BackendServerId> reportedLeaving = new HashSet<>();
  private final LeavingTimes leavingTimes;
  private List<GatewayServer> servers = List.of();
  private long term = -1;
  private long changes;

  /** Creates a directory of a list that never lags. */
  public ServerDirectory() {
    this(Duration.ZERO);
  }

  /**
   * @param listLag by how much a reading of the platform's list may be out of date
   */
  public ServerDirectory(Duration listLag) {
    this.leavingTimes = new LeavingTimes(listLag);
  }

  /**
   * Replaces the list; returns whether it differs from the previous one. A server whose entry
   * cannot be read stays as it was in this term.
   *
   * @param nowMillis true time at which the listing was received, in Unix milliseconds
   * @param askedAtMillis true time at which it was asked for, if it is known well enough
   * @param recordedLeaving since when servers leave, as earlier leaders recorded it
   */
  synchronized boolean replace(
      long newTerm,
      ServerListing listing,
      long nowMillis,
      OptionalLong askedAtMillis,
      Map<BackendServerId, Long> recordedLeaving) {
    List<GatewayServer> read = complete(newTerm, listing, nowMillis);
    if (newTerm != term) {
      reportedLeaving.clear();
      leavingTimes.clear();
    }
    reportedLeaving.retainAll(read.stream().map(GatewayServer::id).toList());
    leavingTimes.read(withReported(read), askedAtMillis, recordedLeaving);
    return update(newTerm, read);
  }

  private List<GatewayServer> withReported(List<GatewayServer> listed) {
    return listed.stream()
        .map(server -> reportedLeaving.contains(server.id()) ? server.asLeaving() : server)
        .toList();
  }

  /** Returns the servers of a listing, with what is known of them in this term. */
  synchronized List<GatewayServer> complete(long newTerm, ServerListing listing, long nowMillis) {
    return listing.completedFrom(newTerm == term ? servers : List.of(), nowMillis);
  }

  /**
   * Records servers that told an entry that they leave, which the platform may list as sound for
   * some time; returns whether the list has changed.
   */
  synchronized boolean reportLeaving(long ofTerm, Collection<BackendServerId> leaving) {
    boolean isNew = ofTerm == term && reportedLeaving.addAll(leaving);
    if (isNew) {
      leavingTimes.told(leaving);
    }
    return isNew && update(term, servers);
  }

  /**
   * Records servers that refused connections of an entry, which may restart before the platform
   * lists them as failed; returns whether the list has changed. A server that keeps refusing is
   * recorded again only after {@link #REFUSAL_REPEAT_MILLIS}, since each change is sent to all
   * entries.
   *
   * @param nowMillis true time, in Unix milliseconds
   */
  synchronized boolean reportRefusing(
      long ofTerm, Collection<BackendServerId> refusing, long nowMillis) {
    if (ofTerm != term || refusing.isEmpty()) {
      return false;
    }
    return update(
        term,
        servers.stream()
            .map(
                server ->
                    refusing.contains(server.id())
                            && nowMillis - server.refusedAtMillis() >= REFUSAL_REPEAT_MILLIS
                        ? server.refusedAt(nowMillis)
                        : server)
            .toList());
  }

  private boolean update(long newTerm, List<GatewayServer> listed) {
    List<GatewayServer> ordered =
        withReported(listed).stream()
            .map(this::withLeavingTime)
            .sorted(Comparator.comparing(GatewayServer::id))
            .toList();
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
      while (lists.size() > MAX_LISTS) {
        lists.pollFirstEntry();
      }
    }
    return changed;
  }

  private GatewayServer withLeavingTime(GatewayServer server) {
    return server.leaving() ? server.leavingSince(leavingTimes.since(server.id())) : server;
  }

  /** Returns whether servers of several software versions serve one service, as in a release. */
  synchronized boolean hasMixedVersions() {
    return servers.stream()
        .collect(
            Collectors.groupingBy(
                GatewayServer::service,
                Collectors.mapping(GatewayServer::version, Collectors.toSet())))
        .values()
        .stream()
        .anyMatch(versions -> versions.size() > 1);
  }

  /** Returns since when servers leave, for those of which it is known, in Unix milliseconds. */
  synchronized Map<BackendServerId, Long> leavingSince() {
    return leavingTimes.known();
  }

  /** Returns the number of the current list of a term; 0 while the term has no list. */
  synchronized long number(long ofTerm) {
    return ofTerm == term ? term * NUMBERS_PER_TERM + changes : 0;
  }

  /**
   * Returns the update from a known list to a term's current list; empty when they are the same or
   * the term has no list.
   */
  synchronized Optional<ServerListUpdate> updateSince(long ofTerm, long knownNumber) {
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

  /** Returns the current list. */
  public synchronized List<GatewayServer> servers() {
    return servers;
  }
}
