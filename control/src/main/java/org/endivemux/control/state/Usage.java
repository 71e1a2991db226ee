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
 * Stores usage totals by window.
 *
 * <p>Invariants: the totals of a closed window never change; a running total that is sent again
 * adds nothing; usage that arrives late is counted in the open window. Confined to the state
 * machine's thread.
 */
final class Usage {
  /** Reported windows are removed beyond this number; unreported ones are always retained. */
  private static final int MAX_RETAINED_WINDOWS = 2000;

  private static final long SOURCE_RETENTION_MILLIS = 7L * 24 * 3600 * 1000;

  private final Map<Source, RunningTotals> runningTotals = new HashMap<>();
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
        Optional.ofNullable(runningTotals.get(source))
            .map(RunningTotals::totals)
            .orElse(UsageTotals.zero());
    UsageTotals increase = line.totals().since(before);
    runningTotals.put(source, new RunningTotals(before.plus(increase), nowMillis));
    if (!increase.equals(UsageTotals.zero())) {
      open.merge(account, increase, UsageTotals::plus);
    }
  }

  CommandResult close(CloseWindow command, long nowMillis) {
    if (command.window() == openWindow) {
      closed.add(new UsageWindow(openWindow, nowMillis, lines(open), false));
      open.clear();
      openWindow++;
      removeExpired(nowMillis);
    }
    return new CommandResult.Done();
  }

  private void removeExpired(long nowMillis) {
    while (closed.size() > MAX_RETAINED_WINDOWS && closed.get(0).reported()) {
      closed.remove(0);
    }
    runningTotals.values().removeIf(last -> nowMillis - last.atMillis() > SOURCE_RETENTION_MILLIS);
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
        runningTotals.entrySet().stream()
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
    runningTotals.clear();
    open.clear();
    closed.clear();
    saved
        .sources()
        .forEach(
            s ->
                runningTotals.put(
                    new Source(s.vm(), s.incarnation(), Account.of(s.line())),
                    new RunningTotals(s.line().totals(), s.atMillis())));
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

  private record RunningTotals(UsageTotals totals, long atMillis) {}

  /** Running totals of one source for a snapshot. Immutable and thread-safe. */
  record SavedSource(VmId vm, Incarnation incarnation, UsageLine line, long atMillis) {}

  /** The content for a snapshot. Immutable and thread-safe. */
  record Saved(
      List<SavedSource> sources, List<UsageLine> open, List<UsageWindow> closed, long openWindow) {
    static Saved initial() {
      return new Saved(List.of(), List.of(), List.of(), 1);
    }
  }
}
