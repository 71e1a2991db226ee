package org.endivemux.control.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.endivemux.model.ClassName;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.UsageLine;
import org.endivemux.model.UsageTotals;

/**
 * Counts one process's usage as running totals.
 *
 * <p>Invariants: totals only grow; a total that the present leader has not answered for is sent
 * again; with a new term all totals are sent again. Thread-safe.
 */
public final class UsageLedger {
  private final Map<Account, UsageTotals> totals = new HashMap<>();
  private final Map<Account, UsageTotals> acknowledged = new HashMap<>();
  private long term = -1;

  /** Adds what one request used. */
  public synchronized void add(
      OrganisationId organisation, ClassName requestClass, UsageTotals used) {
    totals.merge(new Account(organisation, requestClass), used, UsageTotals::plus);
  }

  /** Returns the totals that the leader does not have yet. */
  synchronized Batch changed() {
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

  /** Notes that the leader of a term has a batch. */
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

  /** Holds totals on their way to the leader. Immutable and thread-safe. */
  record Batch(List<UsageLine> lines) {}
}
