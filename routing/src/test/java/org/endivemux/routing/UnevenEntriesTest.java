package org.endivemux.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.EntryCapacity;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;

/** Tests which entries callers are named in a fleet whose VMs differ in size. */
final class UnevenEntriesTest {
  private static final int ENTRIES = 86;
  private static final int DOMAINS = 3;
  private static final int CALLERS_PER_DOMAIN = 600;
  private static final int LIMIT = 64;
  private static final double SMALL_CORES = 0.27;
  private static final double LARGE_CORES = 0.9;
  private static final double MBPS_PER_CORE = 19.4;

  /** The target for the busiest entry, as a multiple of its fair part. */
  private static final double MAX_OVER_FAIR_PART = 1.3;

  private final List<EntryInfo> fleet =
      IntStream.range(0, ENTRIES).mapToObj(UnevenEntriesTest::entry).toList();

  /** Guards against small VMs that get as many callers as large ones. */
  @Example
  void equalDomainsLoadEachSizeByItsCapacity() {
    assertThat(busiestOverFairPart(load(fleet, List.of(1.0, 1.0, 1.0))))
        .isLessThan(MAX_OVER_FAIR_PART);
  }

  /** Guards against a wave of demand that overloads one domain while others are idle. */
  @Example
  void waveInOneDomainIsCarriedByAll() {
    assertThat(busiestOverFairPart(load(fleet, List.of(1.27, 0.86, 0.87))))
        .isLessThan(MAX_OVER_FAIR_PART);
  }

  /** Guards against callers without any address that works after the loss of a domain. */
  @Example
  void everyCallerIsNamedEntriesOfAllDomains() {
    assertThat(
            IntStream.range(0, CALLERS_PER_DOMAIN)
                .mapToObj(caller -> domainsOf(named(fleet, caller, 0))))
        .allMatch(domains -> domains.size() == DOMAINS);
  }

  /** Guards against callers that close all connections when one entry leaves. */
  @Example
  void departureChangesOneAddressOfEachCallerAtMost() {
    List<EntryInfo> smaller = fleet.subList(1, ENTRIES);
    assertThat(IntStream.range(0, CALLERS_PER_DOMAIN).boxed())
        .allMatch(
            caller -> {
              Set<String> kept = new HashSet<>(named(fleet, caller, 0));
              kept.retainAll(named(smaller, caller, 0));
              return kept.size() >= named(fleet, caller, 0).size() - 1;
            });
  }

  /** Guards against an empty answer to callers whose domain has no entry. */
  @Example
  void callerOfAnUnknownDomainIsNamedOthers() {
    assertThat(named(fleet, 0, DOMAINS)).isNotEmpty();
  }

  private static Map<String, Double> load(List<EntryInfo> entries, List<Double> demand) {
    Map<String, Double> load = new HashMap<>();
    IntStream.range(0, DOMAINS)
        .forEach(
            domain ->
                IntStream.range(0, CALLERS_PER_DOMAIN)
                    .mapToObj(caller -> named(entries, caller, domain))
                    .forEach(
                        names ->
                            names.forEach(
                                name ->
                                    load.merge(
                                        name, demand.get(domain) / names.size(), Double::sum))));
    return load;
  }

  /** Returns the load of the busiest entry, as a multiple of its fair part. */
  private double busiestOverFairPart(Map<String, Double> load) {
    double perCore =
        load.values().stream().mapToDouble(Double::doubleValue).sum()
            / fleet.stream().mapToDouble(UnevenEntriesTest::cores).sum();
    return fleet.stream()
        .mapToDouble(
            entry -> load.getOrDefault(entry.httpAddress(), 0.0) / (cores(entry) * perCore))
        .max()
        .orElseThrow();
  }

  private static double cores(EntryInfo entry) {
    return entry.capacity().orElseThrow().cores();
  }

  private static List<String> named(List<EntryInfo> entries, int caller, int domain) {
    return EntryAddresses.select(
        new VmId("vm" + caller % ENTRIES),
        new EntryAddresses.Caller("10.9." + domain + "." + caller, Optional.of(domain(domain))),
        entries,
        LIMIT);
  }

  private static FailureDomain domain(int number) {
    return new FailureDomain("d" + number);
  }

  private Set<FailureDomain> domainsOf(List<String> names) {
    Set<FailureDomain> domains = new HashSet<>();
    fleet.stream()
        .filter(entry -> names.contains(entry.httpAddress()))
        .forEach(entry -> domains.add(entry.failureDomain()));
    return Collections.unmodifiableSet(domains);
  }

  private static EntryInfo entry(int number) {
    double cores = number / DOMAINS % 2 == 0 ? SMALL_CORES : LARGE_CORES;
    return new EntryInfo(
        new VmId("vm" + number),
        new Incarnation("i" + number),
        domain(number % DOMAINS),
        "10.0.0." + number + ":80",
        "10.0.0." + number + ":81",
        true,
        Optional.of(new EntryCapacity(cores, cores * MBPS_PER_CORE)));
  }
}
