package org.endivemux.control.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivemux.model.ClassName;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.UsageLine;
import org.endivemux.model.UsageTotals;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Counts the usage of this process as running totals.
 *
 * <p>Invariants: totals never decrease; a total is sent again until the current leader has
 * acknowledged it; all totals are sent again to the leader of a new term. Thread-safe.
 */
public final class UsageLedger {
  private final Map<Account, UsageTotals> totals = new HashMap<>();
  private final Map<Account, UsageTotals> acknowledged = new HashMap<>();
  private final Sinks.Many<Boolean> added = Sinks.many().multicast().directBestEffort();
  private long term = -1;

  /** Adds what one request used. */
  public synchronized void add(
      OrganisationId organisation, ClassName requestClass, UsageTotals used) {
    totals.merge(new Account(organisation, requestClass), used, UsageTotals::plus);
    var unused = added.tryEmitNext(true);
  }

  /** Completes with an item as soon as there are totals that the leader has not acknowledged. */
  Mono<Boolean> awaitUnacknowledged() {
    return Mono.firstWithSignal(
        added.asFlux().next(),
        Mono.defer(() -> unacknowledged().isEmpty() ? Mono.never() : Mono.just(true)));
  }

  /** Returns the totals that the leader has not acknowledged yet. */
  synchronized Batch unacknowledged() {
    List<UsageLine> lines =
        totals.entrySet().stream()
            .filter(e -> !e.getValue().equals(acknowledged.get(e.getKey())))
            .map(
                e ->
                    new UsageLine(
                        e.getKey().organisation(), e.getKey().requestClass(), e.getValue()))
            .toList();
    return new Batch(lines);
  }

  /** Records that the leader of a term has committed a batch. */
  synchronized void acknowledge(Batch batch, long leaderTerm) {
    if (leaderTerm != term) {
      term = leaderTerm;
      acknowledged.clear();
    }
    batch
        .lines()
        .forEach(
            line ->
                acknowledged.put(
                    new Account(line.organisation(), line.requestClass()), line.totals()));
  }

  private record Account(OrganisationId organisation, ClassName requestClass) {}

  /** Totals to be sent to the leader. Immutable and thread-safe. */
  record Batch(List<UsageLine> lines) {
    static Batch none() {
      return new Batch(List.of());
    }

    boolean isEmpty() {
      return lines.isEmpty();
    }
  }
}
