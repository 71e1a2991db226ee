package org.endivemux.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.VmId;

/**
 * Selects the entries that one entry names to a caller.
 *
 * <p>Where all entries are alike, a small fleet is named completely, and each entry names a
 * different, stable subset of a large one. Where entries state different capacities, a caller is
 * named some entries of its own failure domain and spares in others, each entry in proportion to
 * its capacity. Invariant: the same caller gets the same answer until the fleet changes, so that it
 * can keep its connections. Stateless and thread-safe.
 */
public final class EntryAddresses {
  /** Part of the fleet that one caller is named; a small part keeps to the proportions. */
  private static final double NAMED_SHARE = 1.0 / 6;

  /** Enough for entries of the own domain and of two others, with one spare each. */
  private static final int MIN_NAMED = 6;

  /**
   * Part of the named entries that are in the caller's own failure domain. The rest carries the
   * domain's demand when it grows beyond that of the others, or when the domain is lost.
   */
  private static final double OWN_DOMAIN_SHARE = 0.5;

  /**
   * Describes who asks. Immutable and thread-safe.
   *
   * @param host the caller's IP address
   * @param failureDomain the caller's domain, if it is known
   */
  public record Caller(String host, Optional<FailureDomain> failureDomain) {}

  private EntryAddresses() {}

  /** Returns the addresses of at most {@code limit} serving entries. */
  public static List<String> select(VmId self, Caller caller, List<EntryInfo> entries, int limit) {
    List<EntryInfo> serving = entries.stream().filter(EntryInfo::serving).toList();
    return (haveDifferentCapacities(serving)
            ? byCapacity(self, caller, serving, limit)
            : RendezvousHash.highest(self.value(), serving, entry -> entry.vm().value(), limit))
        .stream().map(EntryInfo::httpAddress).toList();
  }

  private static boolean haveDifferentCapacities(List<EntryInfo> serving) {
    return serving.stream().allMatch(entry -> entry.capacity().isPresent())
        && serving.stream().map(EntryInfo::capacity).distinct().count() > 1;
  }

  private static List<EntryInfo> byCapacity(
      VmId self, Caller caller, List<EntryInfo> serving, int limit) {
    CapacityWeights weights = new CapacityWeights(serving);
    List<EntryInfo> ranked =
        RendezvousHash.rankedByWeight(
            caller.host() + " " + self, serving, entry -> entry.vm().value(), weights::of);
    int named = Math.min(limit, Math.max(MIN_NAMED, (int) Math.ceil(serving.size() * NAMED_SHARE)));
    List<EntryInfo> own =
        ranked.stream()
            .filter(entry -> caller.failureDomain().equals(Optional.of(entry.failureDomain())))
            .limit(ownCount(caller, named, weights))
            .toList();
    return Stream.concat(own.stream(), spares(caller, ranked).limit(named - own.size())).toList();
  }

  /** A domain with less than its part of the capacity gets fewer of its own callers. */
  private static int ownCount(Caller caller, int named, CapacityWeights weights) {
    double relative = caller.failureDomain().map(weights::ofDomain).orElse(0.0);
    return (int) (named * OWN_DOMAIN_SHARE * Math.min(1, relative));
  }

  /** Takes the other domains in turn, so that the loss of one leaves entries in the others. */
  private static Stream<EntryInfo> spares(Caller caller, List<EntryInfo> ranked) {
    Map<FailureDomain, List<EntryInfo>> byDomain =
        ranked.stream()
            .filter(entry -> !caller.failureDomain().equals(Optional.of(entry.failureDomain())))
            .collect(Collectors.groupingBy(EntryInfo::failureDomain));
    Map<EntryInfo, Integer> rankInDomain =
        byDomain.values().stream()
            .flatMap(
                domain ->
                    IntStream.range(0, domain.size())
                        .mapToObj(rank -> Map.entry(domain.get(rank), rank)))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    Map<EntryInfo, Integer> rank =
        IntStream.range(0, ranked.size())
            .boxed()
            .collect(Collectors.toMap(ranked::get, Function.identity()));
    return rankInDomain.keySet().stream()
        .sorted(Comparator.<EntryInfo>comparingInt(rankInDomain::get).thenComparing(rank::get));
  }
}
