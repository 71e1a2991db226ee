package org.endivemux.control.voter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.endivemux.control.state.Command;
import org.endivemux.model.ClassName;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.Incarnation;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.UsageLine;
import org.endivemux.model.VmId;

/**
 * Collects the running totals that entries send, until they are committed.
 *
 * <p>Invariant: only the latest total of each source and account is retained, so the number of
 * sources and accounts bounds the size. A total that is lost with a leader is contained in the
 * entry's next total. Thread-safe.
 */
public final class UsageInbox {
  private final Map<Source, Map<Account, UsageLine>> latest = new HashMap<>();

  synchronized void add(EntryInfo entry, List<UsageLine> lines) {
    if (!lines.isEmpty()) {
      Source source = new Source(entry.vm(), entry.incarnation());
      latest
          .computeIfAbsent(source, none -> new HashMap<>())
          .putAll(
              lines.stream()
                  .collect(
                      Collectors.toMap(
                          line -> new Account(line.organisation(), line.requestClass()),
                          Function.identity())));
    }
  }

  /** Removes all totals and returns them as commands. */
  synchronized List<Command.RecordUsage> drain() {
    List<Command.RecordUsage> drained =
        latest.entrySet().stream()
            .map(
                e ->
                    new Command.RecordUsage(
                        e.getKey().vm(),
                        e.getKey().incarnation(),
                        List.copyOf(e.getValue().values())))
            .toList();
    latest.clear();
    return drained;
  }

  private record Source(VmId vm, Incarnation incarnation) {}

  private record Account(OrganisationId organisation, ClassName requestClass) {}
}
