package org.endivemux.control.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivemux.control.state.Command.CloseWindow;
import org.endivemux.control.state.Command.MarkReported;
import org.endivemux.control.state.Command.RecordUsage;
import org.endivemux.model.ClassName;
import org.endivemux.model.Incarnation;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.UsageLine;
import org.endivemux.model.UsageTotals;
import org.endivemux.model.VmId;

/**
 * Keeps usage by window.
 *
 * <p>Invariants: the figures of a closed window never change; a resent running total adds nothing;
 * usage that comes late goes to the open window. Confined to the state machine's thread.
 */
final class Usage {
  private static final int WINDOWS_KEPT = 2000;
  private static final long SOURCE_KEPT_MILLIS = 7L * 24 * 3600 * 1000;

  private final Map<Source, Seen> seen = new HashMap<>();
  private final Map<Account, UsageTotals> open = new HashMap<>();
  private final List<UsageWindow> closed = new ArrayList<>();
  private long openWindow = 1;

  CommandResult record(RecordUsage command, long nowMillis) {
    command.lines().forEach(line -> record(command, line, nowMillis));
    return new CommandResult.Done();
  }

  private void record(RecordUsage command, UsageLine line, long nowMillis) {
    Account account = new Account(line.organisation(), line.requestClass());
    Source source = new Source(command.vm(), command.incarnation(), account);
    UsageTotals before =
        Optional.ofNullable(seen.get(source)).map(Seen::totals).orElse(UsageTotals.zero());
    UsageTotals growth = line.totals().since(before);
    seen.put(source, new Seen(before.plus(growth), nowMillis));
    if (!growth.equals(UsageTotals.zero())) {
      open.merge(account, growth, UsageTotals::plus);
    }
  }

  CommandResult close(CloseWindow command, long nowMillis) {
    if (command.window() == openWindow) {
      closed.add(new UsageWindow(openWindow, nowMillis, lines(open), false));
      open.clear();
      openWindow++;
      forgetOld(nowMillis);
    }
    return new CommandResult.Done();
  }

  private void forgetOld(long nowMillis) {
    while (closed.size() > WINDOWS_KEPT && closed.get(0).reported()) {
      closed.remove(0);
    }
    seen.values().removeIf(last -> nowMillis - last.atMillis() > SOURCE_KEPT_MILLIS);
  }

  private static List<UsageLine> lines(Map<Account, UsageTotals> totals) {
    return totals.entrySet().stream()
        .map(e -> new UsageLine(e.getKey().organisation(), e.getKey().requestClass(), e.getValue()))
        .sorted(
            Comparator.comparing(UsageLine::organisation).thenComparing(UsageLine::requestClass))
        .toList();
  }

  CommandResult markReported(MarkReported command) {
    closed.replaceAll(
        window -> window.number() == command.window() ? window.markReported() : window);
    return new CommandResult.Done();
  }

  long openWindow() {
    return openWindow;
  }

  List<UsageWindow> windows() {
    return List.copyOf(closed);
  }

  Optional<UsageWindow> firstUnreported() {
    return closed.stream().filter(window -> !window.reported()).findFirst();
  }

  Saved save() {
    List<SavedSource> sources =
        seen.entrySet().stream()
            .map(
                e ->
                    new SavedSource(
                        e.getKey().vm(),
                        e.getKey().incarnation(),
                        new UsageLine(
                            e.getKey().account().organisation(),
                            e.getKey().account().requestClass(),
                            e.getValue().totals()),
                        e.getValue().atMillis()))
            .toList();
    return new Saved(sources, lines(open), List.copyOf(closed), openWindow);
  }

  void restore(Saved saved) {
    seen.clear();
    open.clear();
    closed.clear();
    saved
        .sources()
        .forEach(
            s ->
                seen.put(
                    new Source(s.vm(), s.incarnation(), Account.of(s.line())),
                    new Seen(s.line().totals(), s.atMillis())));
    saved.open().forEach(line -> open.put(Account.of(line), line.totals()));
    closed.addAll(saved.closed());
    openWindow = saved.openWindow();
  }

  private record Account(OrganisationId organisation, ClassName requestClass) {
    static Account of(UsageLine line) {
      return new Account(line.organisation(), line.requestClass());
    }
  }

  private record Source(VmId vm, Incarnation incarnation, Account account) {}

  private record Seen(UsageTotals totals, long atMillis) {}

  /** Holds one source's running totals for a snapshot. Immutable and thread-safe. */
  record SavedSource(VmId vm, Incarnation incarnation, UsageLine line, long atMillis) {}

  /** Holds the content for a snapshot. Immutable and thread-safe. */
  record Saved(
      List<SavedSource> sources, List<UsageLine> open, List<UsageWindow> closed, long openWindow) {
    static Saved blank() {
      return new Saved(List.of(), List.of(), List.of(), 1);
    }
  }
}
