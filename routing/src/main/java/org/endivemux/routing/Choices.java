package org.endivemux.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.endivemux.model.ServerKind;
import org.endivemux.routing.Choice.Candidate;

/** Makes the policies that an operator or an experiment can pick. Stateless and thread-safe. */
public final class Choices {
  private static final double MILLIS_PER_PROMPT_TOKEN = 0.2;
  private static final double LINK_MILLIS = 5;
  private static final double CHEAP_BONUS_MILLIS = 2;

  private Choices() {}

  /** Returns the policy with a name; throws {@link IllegalArgumentException} for an unknown one. */
  public static Choice named(String name) {
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

  /** Returns the policy of least expected time: wait, uncovered prefill, link, slowness. */
  public static Choice leastCost() {
    Comparator<Candidate> byId = Comparator.comparing(candidate -> candidate.server().id());
    return (job, candidates) ->
        candidates.min(
            Comparator.comparingDouble((Candidate candidate) -> cost(job, candidate))
                .thenComparing(byId));
  }

  private static double cost(Job job, Candidate candidate) {
    double crowding = candidate.total() / Math.max(1, candidate.room());
    double wait = candidate.firstByteMillis() * candidate.slowness() * crowding;
    double prefill = candidate.mayHoldPrefix() ? 0 : job.promptTokens() * MILLIS_PER_PROMPT_TOKEN;
    double link = candidate.sameDomain() ? 0 : LINK_MILLIS;
    boolean cheap = candidate.server().kind() == ServerKind.CHEAP;
    double kind = cheap && job.repeatable() ? -CHEAP_BONUS_MILLIS : 0;
    return candidate.firstByteMillis() * candidate.slowness() + wait + prefill + link + kind;
  }

  /** Returns the baseline that takes backend servers in turn. */
  public static Choice roundRobin() {
    AtomicLong turn = new AtomicLong();
    return (job, candidates) -> {
      var list =
          candidates.sorted(Comparator.comparing(candidate -> candidate.server().id())).toList();
      return list.isEmpty()
          ? Optional.empty()
          : Optional.of(list.get((int) (turn.getAndIncrement() % list.size())));
    };
  }

  /** Returns the baseline that takes the backend server with fewest of its own requests. */
  public static Choice leastInFlight() {
    return (job, candidates) ->
        candidates.min(
            Comparator.comparingInt(Candidate::own)
                .thenComparing(candidate -> candidate.server().id()));
  }

  /** Returns a choice that only sees candidates of a kind that the job may run on. */
  public static Choice keepingUnrepeatableOffCheap(Choice inner) {
    return (job, candidates) -> inner.choose(job, allowed(job, candidates));
  }

  private static Stream<Candidate> allowed(Job job, Stream<Candidate> candidates) {
    return candidates.filter(
        candidate -> job.repeatable() || candidate.server().kind() == ServerKind.STEADY);
  }
}
