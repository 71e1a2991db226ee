package org.endivemux.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.OrganisationKeys;

/**
 * Ranks requests by the priority of their organisation and then by that of their route.
 *
 * <p>Invariants: an organisation's priority goes before any route's; among organisations of equal
 * priority the routes decide; an organisation without a priority has that of the route. Entries
 * with the same configuration rank alike. Immutable and thread-safe.
 */
final class Urgencies {
  private final Set<OptionalInt> organisationPriorities;
  private final List<Priorities> mostUrgentFirst;

  private Urgencies(Set<OptionalInt> organisationPriorities, List<Priorities> mostUrgentFirst) {
    this.organisationPriorities = organisationPriorities;
    this.mostUrgentFirst = mostUrgentFirst;
  }

  static Urgencies of(GatewayConfig config) {
    Set<OptionalInt> ofOrganisations =
        config.organisations().stream()
            .map(OrganisationKeys::priority)
            .collect(Collectors.toUnmodifiableSet());
    List<Priorities> ranks =
        config.routes().stream()
            .flatMap(route -> prioritiesOf(route, ofOrganisations))
            .distinct()
            .sorted(
                Comparator.comparingInt(Priorities::organisation)
                    .thenComparingInt(Priorities::route))
            .toList();
    return new Urgencies(ofOrganisations, ranks);
  }

  /** Returns the priorities that requests of a route can have. */
  private static Stream<Priorities> prioritiesOf(
      HostRoute route, Set<OptionalInt> ofOrganisations) {
    boolean hasNone = route.open() || ofOrganisations.isEmpty();
    return Stream.concat(
            ofOrganisations.stream(), hasNone ? Stream.of(OptionalInt.empty()) : Stream.empty())
        .map(organisation -> Priorities.of(route, organisation));
  }

  /** Returns the rank of a request, 0 is the most urgent. */
  int of(HostRoute route, OptionalInt organisationPriority) {
    int rank = mostUrgentFirst.indexOf(Priorities.of(route, organisationPriority));
    if (rank < 0) {
      throw new IllegalArgumentException("The route is not in the configuration.");
    }
    return rank;
  }

  /** Returns the ranks that requests of a route can have. */
  Stream<Integer> ranksOf(HostRoute route) {
    return prioritiesOf(route, organisationPriorities).distinct().map(mostUrgentFirst::indexOf);
  }

  private record Priorities(int organisation, int route) {
    static Priorities of(HostRoute route, OptionalInt organisation) {
      return new Priorities(organisation.orElse(route.priority()), route.priority());
    }
  }
}
