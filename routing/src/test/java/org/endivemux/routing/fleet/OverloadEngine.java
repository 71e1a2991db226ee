package org.endivemux.routing.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.endivemux.routing.fleet.OverloadSimulation.Request;

/**
 * Models an engine that reads prompts in chunks between the decoding steps of its batch.
 *
 * <p>The requests that it runs share the prefill evenly. Its queue is ordered by urgency, and a
 * more urgent request preempts the least urgent running one, whose prefill is then lost. Confined
 * to one thread.
 */
final class OverloadEngine {
  static final int SLOTS = 16;
  static final long MEMORY_TOKENS = 441_096;
  private static final double CHUNK_TOKENS = 1024;
  private static final double TOKENS_PER_MILLI = 66.2;
  private static final double STEP_MILLIS = 3.88;
  private static final double CHUNK_STEP_MILLIS = CHUNK_TOKENS / TOKENS_PER_MILLI + STEP_MILLIS;
  private static final Comparator<Request> BY_URGENCY =
      Comparator.comparing((Request request) -> request.kind)
          .thenComparingLong(request -> request.arrivedAt);

  private final List<Request> running = new ArrayList<>();
  private final List<Request> queue = new ArrayList<>();
  private final PrefixCacheEstimate cache = new PrefixCacheEstimate(MEMORY_TOKENS / 2);

  void take(Request request) {
    request.prefillTokens =
        request.job.prompt().tokens() - cache.cachedTokens(request.job.prompt());
    request.prefillLeft = request.prefillTokens;
    request.outputLeft = request.kind.output;
    cache.recordSent(request.job.prompt());
    queue.add(request);
  }

  boolean exceedsMemory() {
    return requests().stream().mapToLong(Request::heldTokens).sum() > MEMORY_TOKENS;
  }

  List<Request> requests() {
    return Stream.concat(running.stream(), queue.stream()).toList();
  }

  void work(OverloadSimulation fleet) {
    expire(running, fleet);
    expire(queue, fleet);
    admit(fleet);
    List<Request> prefilling = running.stream().filter(r -> r.prefillLeft > 0).toList();
    double steps =
        OverloadSimulation.STEP_MILLIS / (prefilling.isEmpty() ? STEP_MILLIS : CHUNK_STEP_MILLIS);
    running.stream().filter(r -> r.prefillLeft <= 0).forEach(r -> r.outputLeft -= steps);
    prefill(prefilling, steps * CHUNK_TOKENS, fleet);
    running.stream().filter(r -> r.outputLeft <= 0).toList().forEach(r -> complete(r, fleet));
  }

  private static void expire(List<Request> requests, OverloadSimulation fleet) {
    List<Request> expired = requests.stream().filter(Request::isExpired).toList();
    requests.removeAll(expired);
    expired.forEach(fleet::expired);
  }

  private void admit(OverloadSimulation fleet) {
    queue.sort(BY_URGENCY);
    while (!queue.isEmpty() && (running.size() < SLOTS || preempt(queue.get(0), fleet))) {
      running.add(queue.remove(0));
    }
  }

  private boolean preempt(Request arriving, OverloadSimulation fleet) {
    Optional<Request> least =
        running.stream().max(BY_URGENCY).filter(r -> r.kind.compareTo(arriving.kind) > 0);
    least.ifPresent(
        request -> {
          running.remove(request);
          request.prefillLeft = request.prefillTokens;
          queue.add(request);
          fleet.preempted(request);
        });
    return least.isPresent();
  }

  private static void prefill(List<Request> prefilling, double tokens, OverloadSimulation fleet) {
    List<Request> shortestFirst =
        prefilling.stream().sorted(Comparator.comparingDouble(r -> r.prefillLeft)).toList();
    double left = tokens;
    for (int i = 0; i < shortestFirst.size(); i++) {
      Request request = shortestFirst.get(i);
      double share = Math.min(request.prefillLeft, left / (shortestFirst.size() - i));
      left -= share;
      request.prefillLeft -= share;
      if (request.prefillLeft <= 0 && !request.answered) {
        fleet.firstEvent(request);
      }
    }
  }

  private void complete(Request request, OverloadSimulation fleet) {
    running.remove(request);
    fleet.completed(request);
  }
}
