package org.endivemux.control.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamOriginSource;
import org.endivemux.model.gateway.StreamStarts;

/**
 * Holds which software version began each recent stream, since when each version has served, and
 * since when servers leave that may still serve.
 *
 * <p>Invariant: a version is named for a stream only if the entry that began it has reported it, or
 * if no other version has been listed for the service for longer than a stream can last. Confined
 * to the state machine's thread.
 */
public final class StreamVersions {
  /** Stands for a version that is listed now. */
  private static final long LISTED = Long.MAX_VALUE;

  /**
   * After a longer time without a note nothing is known about the versions in between: a leader of
   * an earlier version, which notes none, may have led.
   */
  public static final long MAX_GAP_MILLIS = 15_000;

  /** Far longer than any stream lasts. */
  private static final long MAX_RETENTION_MILLIS = 24 * 3_600_000L;

  private static final long PRUNE_INTERVAL_MILLIS = 1_000;

  /** Far longer than a server that leaves still serves. */
  private static final long LEAVING_RETENTION_MILLIS = 600_000;

  private final Map<StreamKey, Start> starts = new HashMap<>();
  private final Map<ServiceName, TreeMap<String, Long>> lastListed = new HashMap<>();
  private final Map<ServiceName, Long> knownSince = new HashMap<>();
  private final Map<BackendServerId, Long> leavingSince = new HashMap<>();
  private long notedAtMillis;
  private long prunedAtMillis;

  /** Which version began a stream, if it is known, and from what. Immutable and thread-safe. */
  public record Found(Optional<SoftwareVersion> version, StreamOriginSource source) {
    static final Found NOTHING = new Found(Optional.empty(), StreamOriginSource.NONE);
  }

  private record Start(ServiceName service, SoftwareVersion version, long expiresAtMillis) {}

  void apply(VersionNote note) {
    note.listed().ifPresent(listed -> updateListed(listed, note.atMillis()));
    note.starts().forEach(batch -> add(batch, note.atMillis()));
    leavingSince.putAll(note.leaving());
    if (note.atMillis() - prunedAtMillis > PRUNE_INTERVAL_MILLIS) {
      starts.values().removeIf(start -> start.expiresAtMillis() < note.atMillis());
      leavingSince.values().removeIf(since -> since < note.atMillis() - LEAVING_RETENTION_MILLIS);
      prunedAtMillis = note.atMillis();
    }
  }

  private void add(StreamStarts batch, long atMillis) {
    Start start = new Start(batch.service(), batch.version(), atMillis + batch.lifetimeMillis());
    batch.streams().forEach(stream -> starts.put(stream, start));
  }

  private void updateListed(Map<ServiceName, List<SoftwareVersion>> listed, long atMillis) {
    if (atMillis - notedAtMillis > MAX_GAP_MILLIS) {
      knownSince.clear();
    }
    notedAtMillis = Math.max(notedAtMillis, atMillis);
    Set<ServiceName> services = new HashSet<>(lastListed.keySet());
    services.addAll(listed.keySet());
    services.forEach(service -> updateListed(service, listed, atMillis));
  }

  private void updateListed(
      ServiceName service, Map<ServiceName, List<SoftwareVersion>> listed, long atMillis) {
    knownSince.putIfAbsent(service, atMillis);
    TreeMap<String, Long> versions = lastListed.computeIfAbsent(service, none -> new TreeMap<>());
    versions.replaceAll((version, last) -> last == LISTED ? Long.valueOf(atMillis) : last);
    versions.values().removeIf(last -> last < atMillis - MAX_RETENTION_MILLIS);
    listed.getOrDefault(service, List.of()).forEach(it -> versions.put(it.value(), LISTED));
  }

  /** Returns whether all these versions are noted as listed now. */
  public boolean lists(Map<ServiceName, List<SoftwareVersion>> versions) {
    return versions.entrySet().stream().allMatch(it -> lists(it.getKey(), it.getValue()));
  }

  private boolean lists(ServiceName service, List<SoftwareVersion> versions) {
    Map<String, Long> known = lastListed.getOrDefault(service, new TreeMap<>());
    return versions.stream().allMatch(it -> known.getOrDefault(it.value(), 0L) == LISTED);
  }

  /**
   * Finds the version that began a stream.
   *
   * @param stream the stream, if the caller has named it
   * @param lifetimeMillis how long a stream of the request's route may last, resumptions included
   * @param nowMillis true time in Unix milliseconds
   */
  public Found find(
      ServiceName service, Optional<StreamKey> stream, long lifetimeMillis, long nowMillis) {
    Optional<Start> start = stream.map(starts::get).filter(it -> it.service().equals(service));
    return start.isPresent()
        ? new Found(start.map(Start::version), StreamOriginSource.RECORD)
        : soleVersion(service, nowMillis - lifetimeMillis);
  }

  /** Returns the version that alone has been listed since a time, if that is certain. */
  private Found soleVersion(ServiceName service, long sinceMillis) {
    List<String> served =
        lastListed.getOrDefault(service, new TreeMap<>()).entrySet().stream()
            .filter(version -> version.getValue() >= sinceMillis)
            .map(Map.Entry::getKey)
            .toList();
    boolean isCertain =
        served.size() == 1 && knownSince.getOrDefault(service, LISTED) < sinceMillis;
    return isCertain
        ? new Found(
            Optional.of(new SoftwareVersion(served.get(0))), StreamOriginSource.SOLE_VERSION)
        : Found.NOTHING;
  }

  /** Returns since when servers leave, in Unix milliseconds; some may be gone by now. */
  public Map<BackendServerId, Long> leavingSince() {
    return Map.copyOf(leavingSince);
  }

  /** Returns the number of streams whose version is recorded. */
  int size() {
    return starts.size();
  }

  Saved save() {
    Map<Start, List<StreamKey>> byStart = new LinkedHashMap<>();
    starts.forEach(
        (stream, start) -> byStart.computeIfAbsent(start, none -> new ArrayList<>()).add(stream));
    List<StreamStarts> batches =
        byStart.entrySet().stream().map(it -> saved(it.getKey(), it.getValue())).toList();
    return new Saved(
        batches, Map.copyOf(lastListed), Map.copyOf(knownSince), notedAtMillis, leavingSince());
  }

  private static StreamStarts saved(Start start, List<StreamKey> streams) {
    return new StreamStarts(start.service(), start.version(), start.expiresAtMillis(), streams);
  }

  /** Replaces the content. */
  void restore(Saved saved) {
    starts.clear();
    lastListed.clear();
    knownSince.clear();
    saved.starts().forEach(batch -> add(batch, 0));
    saved.lastListed().forEach((service, last) -> lastListed.put(service, new TreeMap<>(last)));
    knownSince.putAll(saved.knownSince());
    leavingSince.clear();
    leavingSince.putAll(saved.leavingSince());
    notedAtMillis = saved.notedAtMillis();
  }

  /**
   * The content for a snapshot. Immutable and thread-safe.
   *
   * @param starts streams with the time of their expiry in place of a lifetime
   * @param lastListed when each version was last listed, in Unix milliseconds, by service
   * @param knownSince since when the versions of a service are followed
   * @param notedAtMillis when the listed versions were last noted
   * @param leavingSince since when servers leave; none in snapshots of earlier builds
   */
  record Saved(
      List<StreamStarts> starts,
      Map<ServiceName, TreeMap<String, Long>> lastListed,
      Map<ServiceName, Long> knownSince,
      long notedAtMillis,
      Map<BackendServerId, Long> leavingSince) {
    Saved {
      leavingSince = leavingSince == null ? Map.of() : leavingSince;
    }

    static Saved initial() {
      return new Saved(List.of(), Map.of(), Map.of(), 0, Map.of());
    }
  }
}
