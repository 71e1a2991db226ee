package org.endivemux.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.endivemux.model.ServerKind;
import org.endivemux.routing.SelectionPolicy.Candidate;

/** Creates the policies that an operator or an experiment can select. Stateless and thread-safe. */
public final class SelectionPolicies {
  private static final double MILLIS_PER_PROMPT_TOKEN = 0.2;
  private static final double CROSS_DOMAIN_MILLIS = 5;
  private static final double SPOT_BONUS_MILLIS = 2;

  private SelectionPolicies() {}

  /** Returns the policy of a name; throws {@link IllegalArgumentException} for an unknown name. */
  public static SelectionPolicy named(String name) {
    return switch (name) {
      case "least-cost" -> leastCost();
      case "round-robin" -> roundRobin();
      case "least-in-flight" -> leastInFlight();
      default ->
          throw new IllegalArgumentException(
              "The policy "
                  + name
                  + " is unknown; use least-cost, round-robin or least-in-flight.");
    };
  }

  /** Returns the policy of least expected time: wait, uncached prefill, link and slowness. */
  public static SelectionPolicy leastCost() {
    Comparator<Candidate> byId = Comparator.comparing(candidate -> candidate.server().id());
    return (job, candidates) ->
        candidates.min(
            Comparator.comparingDouble((Candidate candidate) -> cost(job, candidate))
                .thenComparing(byId));
  }

  private static double cost(Job job, Candidate candidate) {
    double utilisation = candidate.total() / Math.max(1, candidate.capacity());
    double wait = candidate.firstByteMillis() * candidate.slowness() * utilisation;
    double prefill = candidate.mayHoldPrefix() ? 0 : job.promptTokens() * MILLIS_PER_PROMPT_TOKEN;
    double link = candidate.sameDomain() ? 0 : CROSS_DOMAIN_MILLIS;
    boolean spot = candidate.server().kind() == ServerKind.CHEAP;
    double kind = spot && job.repeatable() ? -SPOT_BONUS_MILLIS : 0;
    return candidate.firstByteMillis() * candidate.slowness() + wait + prefill + link + kind;
  }

  /** Returns the baseline policy that selects backend servers in rotation. */
  public static SelectionPolicy roundRobin() {
    AtomicLong turn = new AtomicLong();
    return (job, candidates) -> {
      var list =
          candidates.sorted(Comparator.comparing(candidate -> candidate.server().id())).toList();
      return list.isEmpty()
          ? Optional.empty()
          : Optional.of(list.get((int) (turn.getAndIncrement() % list.size())));
    };
  }

  /** Returns the baseline policy that selects the server with the fewest requests of this entry. */
  public static SelectionPolicy leastInFlight() {
    return (job, candidates) ->
        candidates.min(
            Comparator.comparingInt(Candidate::own)
                .thenComparing(candidate -> candidate.server().id()));
  }

  /** Returns a policy that offers {@code inner} spot servers only for repeatable jobs. */
  public static SelectionPolicy withRepeatableOnlyOnSpot(SelectionPolicy inner) {
    return (job, candidates) -> inner.choose(job, allowed(job, candidates));
  }

  private static Stream<Candidate> allowed(Job job, Stream<Candidate> candidates) {
    return candidates.filter(
        candidate -> job.repeatable() || candidate.server().kind() == ServerKind.STEADY);
  }
}
