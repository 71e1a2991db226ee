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
 * Stands in for the platform: orders by failure domain, a list of backend servers, usage reports.
 *
 * <p>Records who ordered what under which fencing number, and every window that was reported with
 * different figures or under a number lower than one seen before. Thread-safe.
 */
public final class Platform implements AutoCloseable {
  private final DisposableServer server;
  private final boolean checksFencing;
  private final Map<String, JsonNode> orders = new HashMap<>();
  private final Map<Long, String> windows = new HashMap<>();
  private final Map<Long, Long> windowSums = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private long highestFencing;
  private long orderCalls;
  private long usageCalls;
  private int failures;

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
    Reply failed = fence("order " + body.path("order").asText(), body.path("fencing").asLong());
    if (failed.status() == 200) {
      orders.put(body.path("order").asText(), body);
    }
    return failed;
  }

  private synchronized Reply usage(JsonNode body) {
    usageCalls++;
    long window = body.path("window").asLong();
    Reply fenced = fence("window " + window, body.path("fencing").asLong());
    if (fenced.status() != 200) {
      return fenced;
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
    windowSums.put(window, sum);
    return fenced;
  }

  private Reply fence(String what, long fencing) {
    if (failures > 0) {
      failures--;
      return new Reply(503, Map.of("try", "again"));
    }
    if (fencing < highestFencing) {
      violations.add(what + " came under " + fencing + " after " + highestFencing);
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

  /** Says that backend servers are leaving. */
  public synchronized void reclaim(List<String> ids) {
    leaving.addAll(ids);
  }

  /** Answers the next calls with 503. */
  public synchronized void failNext(int calls) {
    failures = calls;
  }

  /** Returns what the platform has recorded. */
  public synchronized Map<String, Object> stats() {
    return Map.of(
        "orders", orders.size(),
        "orderCalls", orderCalls,
        "windows", windows.size(),
        "highestFencing", highestFencing,
        "violations", List.copyOf(violations));
  }

  /** Returns what went against the promises. */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns the requests over all reported windows. */
  public synchronized long reportedRequests() {
    return windowSums.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns how often a usage report came, resends included. */
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
