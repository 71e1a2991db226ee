package org.endivemux.testing;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivemux.testing.StandIn.Reply;
import reactor.netty.DisposableServer;

/**
 * Stands in for the platform: capacity orders, the list of leaving backend servers, usage reports.
 *
 * <p>It records orders and usage reports. A call with a fencing number lower than one received
 * before, and a window that is reported again with different figures, count as violations.
 * Thread-safe.
 */
public final class Platform implements AutoCloseable {
  private final DisposableServer server;
  private final boolean checksFencing;
  private final Map<String, JsonNode> orders = new HashMap<>();
  private final Map<Long, String> windows = new HashMap<>();
  private final Map<Long, Long> windowRequests = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private long highestFencing;
  private long orderCalls;
  private long usageCalls;
  private int remainingFailures;

  public Platform(int port, boolean checksFencing) {
    this.checksFencing = checksFencing;
    this.server =
        StandIn.serve(
            port,
            routes ->
                routes
                    .post("/orders", StandIn.json((request, body) -> order(body)))
                    .post("/usage", StandIn.json((request, body) -> usage(body)))
                    .get("/servers", StandIn.json((request, body) -> list()))
                    .get("/stats", StandIn.json((request, body) -> Reply.ok(stats())))
                    .post("/reclaim", StandIn.json((request, body) -> reclaim(body))));
  }

  private synchronized Reply order(JsonNode body) {
    orderCalls++;
    Reply reply =
        checkFencing("order " + body.path("order").asText(), body.path("fencing").asLong());
    if (reply.status() == 200) {
      orders.put(body.path("order").asText(), body);
    }
    return reply;
  }

  private synchronized Reply usage(JsonNode body) {
    usageCalls++;
    long window = body.path("window").asLong();
    Reply reply = checkFencing("window " + window, body.path("fencing").asLong());
    if (reply.status() != 200) {
      return reply;
    }
    String figures = body.path("lines").toString();
    String before = windows.putIfAbsent(window, figures);
    if (before != null && !before.equals(figures)) {
      violations.add("window " + window + " reported as " + before + " and as " + figures);
    }
    long sum = 0;
    for (JsonNode line : body.path("lines")) {
      sum += line.path("totals").path("requests").asLong();
    }
    windowRequests.put(window, sum);
    return reply;
  }

  private Reply checkFencing(String call, long fencing) {
    if (remainingFailures > 0) {
      remainingFailures--;
      return new Reply(503, Map.of("try", "again"));
    }
    if (fencing < highestFencing) {
      violations.add(call + " used fencing number " + fencing + " after " + highestFencing);
      if (checksFencing) {
        return new Reply(409, Map.of("highest", highestFencing));
      }
    }
    highestFencing = Math.max(highestFencing, fencing);
    return Reply.ok(Map.of("accepted", true));
  }

  private synchronized Reply list() {
    List<Map<String, Object>> servers =
        leaving.stream().map(id -> Map.<String, Object>of("id", id, "leaving", true)).toList();
    return Reply.ok(Map.of("servers", servers));
  }

  private synchronized Reply reclaim(JsonNode body) {
    body.path("ids").forEach(id -> leaving.add(id.asText()));
    return Reply.ok(Map.of());
  }

  /** Marks backend servers as leaving. */
  public synchronized void reclaim(List<String> ids) {
    leaving.addAll(ids);
  }

  /** Responds to the next calls with status 503. */
  public synchronized void failNext(int calls) {
    remainingFailures = calls;
  }

  /** Returns the counters and the violations. */
  public synchronized Map<String, Object> stats() {
    return Map.of(
        "orders", orders.size(),
        "orderCalls", orderCalls,
        "windows", windows.size(),
        "highestFencing", highestFencing,
        "violations", List.copyOf(violations));
  }

  /** Returns the recorded violations. */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns the number of requests over all reported windows. */
  public synchronized long reportedRequests() {
    return windowRequests.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the number of received usage reports, repeated ones included. */
  public synchronized long usageCalls() {
    return usageCalls;
  }

  /** Returns the number of reported windows. */
  public synchronized int windowCount() {
    return windows.size();
  }

  /** Returns the port. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    server.disposeNow();
  }
}
