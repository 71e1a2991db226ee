package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.PromptPartId;
import org.endivemux.model.crash.CrashReport;

/**
 * Holds crashes of backend servers and counts those that have a prompt part in common.
 *
 * <p>Invariant: the crashes are in the order of their times; crashes with a common cause count as
 * one. Immutable and thread-safe.
 */
final class Crashes {
  /** Crashes within this time have a common cause, such as the loss of a failure domain. */
  private static final long SAME_CAUSE_NANOS = 40_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final List<Crash> inOrder;

  private Crashes(Stream<Crash> inOrder) {
    this.inOrder = inOrder.toList();
  }

  /** Joins what entries report of the same crash. */
  static Crashes reportedIn(Collection<Received> reports) {
    Map<BackendServerId, Crash> byServer = new HashMap<>();
    reports.forEach(
        received ->
            received
                .reports()
                .forEach(
                    report ->
                        byServer.merge(
                            report.server(), Crash.of(report, received.at()), Crash::join)));
    return new Crashes(byServer.values().stream().sorted(Comparator.comparingLong(Crash::at)));
  }

  /** Returns these crashes without the parts that are known to be sound. */
  Crashes withoutParts(PartAtCrash isHarmless) {
    return new Crashes(
        inOrder.stream().map(crash -> crash.keepParts(part -> !isHarmless.test(part, crash.at()))));
  }

  /** Returns the crashes of some servers. */
  Crashes of(Predicate<BackendServerId> servers) {
    return new Crashes(inOrder.stream().filter(crash -> servers.test(crash.server())));
  }

  /** Returns the crashes under none of some parts. */
  Crashes underNoneOf(Set<PromptPartId> parts) {
    return new Crashes(
        inOrder.stream().filter(crash -> crash.parts().stream().noneMatch(parts::contains)));
  }

  /** Returns the parts of all prompts under which servers crashed. */
  Set<PromptPartId> parts() {
    return inOrder.stream().flatMap(crash -> crash.parts().stream()).collect(Collectors.toSet());
  }

  /** Returns the number of crashes under a part. */
  int countUnder(PromptPartId part) {
    return count(inOrder.stream().filter(crash -> crash.parts().contains(part)));
  }

  /** Returns the number of all crashes since the first one under a part. */
  int countSinceFirstUnder(PromptPartId part) {
    return count(inOrder.stream().dropWhile(crash -> !crash.parts().contains(part)));
  }

  private static int count(Stream<Crash> crashes) {
    int count = 0;
    long last = 0;
    for (Crash crash : crashes.toList()) {
      count += count == 0 || crash.at() - last > SAME_CAUSE_NANOS ? 1 : 0;
      last = crash.at();
    }
    return count;
  }

  /** What one entry reported, and when. */
  record Received(List<CrashReport> reports, long at) {}

  /** Tests a part of a prompt under which a server crashed at some time. */
  interface PartAtCrash {
    boolean test(PromptPartId part, long crashedAt);
  }

  /** One crash, as told by all entries; the earliest report gives its time. */
  private record Crash(BackendServerId server, Set<PromptPartId> parts, long at) {
    static Crash of(CrashReport report, long receivedAt) {
      return new Crash(
          report.server(),
          Set.copyOf(report.parts()),
          receivedAt - report.ageMillis() * NANOS_PER_MILLI);
    }

    Crash join(Crash other) {
      Set<PromptPartId> all = new HashSet<>(parts);
      all.addAll(other.parts);
      return new Crash(server, all, Math.min(at, other.at));
    }

    Crash keepParts(Predicate<PromptPartId> kept) {
      return new Crash(server, parts.stream().filter(kept).collect(Collectors.toSet()), at);
    }
  }
}
