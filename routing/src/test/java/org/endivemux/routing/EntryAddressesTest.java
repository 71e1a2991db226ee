package org.endivemux.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;

/** Tests that callers are spread over a fleet with more entries than one answer may name. */
final class EntryAddressesTest {
  private static final int ENTRIES = 91;
  private static final int LIMIT = 64;
  private static final EntryAddresses.Caller NOWHERE =
      new EntryAddresses.Caller("10.9.0.1", Optional.empty());

  @Example
  void everyEntryIsNamedByItsShareOfTheFleet() {
    List<EntryInfo> fleet = IntStream.range(0, ENTRIES).mapToObj(i -> entry(i, true)).toList();
    Map<String, Long> named =
        fleet.stream()
            .flatMap(self -> EntryAddresses.select(self.vm(), NOWHERE, fleet, LIMIT).stream())
            .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    assertThat(named).hasSize(ENTRIES);
    assertThat(named.values()).allMatch(count -> count > LIMIT / 2 && count < ENTRIES);
  }

  @Example
  void smallFleetIsNamedCompletelyExceptLeavingEntries() {
    List<EntryInfo> fleet = IntStream.range(0, 10).mapToObj(i -> entry(i, i != 3)).toList();
    assertThat(EntryAddresses.select(new VmId("vm0"), NOWHERE, fleet, LIMIT))
        .hasSize(9)
        .doesNotContain("10.0.0.3:80");
  }

  private static EntryInfo entry(int number, boolean serving) {
    return new EntryInfo(
        new VmId("vm" + number),
        new Incarnation("i" + number),
        new FailureDomain("d" + number % 6),
        "10.0.0." + number + ":80",
        "10.0.0." + number + ":81",
        serving);
  }
}
