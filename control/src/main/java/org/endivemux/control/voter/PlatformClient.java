package org.endivemux.control.voter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.endivemux.control.ControlException;
import org.endivemux.control.state.Order;
import org.endivemux.control.state.UsageWindow;
import org.endivemux.model.BackendServerId;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Sends orders and usage reports to the platform and reads its list of backend servers.
 *
 * <p>Invariants: the last handler before the socket checks the lease again, so that a process that
 * was suspended with pending writes sends nothing when it resumes without the lease; every call has
 * a timeout; the client itself sends nothing twice. Thread-safe.
 */
public final class PlatformClient {
  /** Longest time that an order can be in transit. */
  public static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  private static final int OK = 200;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  private final HttpClient client;

  public PlatformClient(String address, BooleanSupplier holdsLease) {
    this.client = PlatformHttp.orders(address, CALL_TIMEOUT, holdsLease);
  }

  /** Sends an order under a fencing number and returns the platform's reply. */
  public Mono<Reply> order(Order order, long fencing) {
    return post(
        "/orders", new OrderMessage(order.intent().order().value(), fencing, order.intent()));
  }

  /** Reports a window; every resend carries the same figures. */
  public Mono<Reply> report(UsageWindow window, long fencing) {
    return post("/usage", new UsageMessage(window.number(), fencing, window.lines()));
  }

  /** Reads the platform's list, which lags. */
  public Mono<Listing> list() {
    return client
        .get()
        .uri("/servers")
        .response((response, body) -> PlatformHttp.text(body))
        .singleOrEmpty()
        .timeout(CALL_TIMEOUT)
        .map(PlatformClient::listing);
  }

  private static Listing listing(String text) {
    try {
      return JSON.readValue(text, Listing.class);
    } catch (JsonProcessingException e) {
      throw new ControlException("The platform's list cannot be parsed.", e);
    }
  }

  private Mono<Reply> post(String path, Object message) {
    return client
        .headers(
            headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON))
        .post()
        .uri(path)
        .send(ByteBufFlux.fromString(Mono.fromCallable(() -> JSON.writeValueAsString(message))))
        .response((response, body) -> PlatformHttp.text(body).map(text -> reply(response, text)))
        .singleOrEmpty()
        .timeout(CALL_TIMEOUT);
  }

  private static Reply reply(HttpClientResponse response, String text) {
    int status = response.status().code();
    boolean isFinal = status == OK || (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR);
    return new Reply(status == OK, isFinal, text);
  }

  /** Holds the platform's reply to a call; only a final reply may be recorded. Immutable. */
  public record Reply(boolean accepted, boolean isFinal, String text) {}

  private record OrderMessage(
      String order, long fencing, org.endivemux.control.state.Command.OpenOrder intent) {}

  private record UsageMessage(
      long window, long fencing, List<org.endivemux.model.UsageLine> lines) {}

  /** Holds the platform's list of backend servers. Immutable and thread-safe. */
  public record Listing(List<Listed> servers) {
    public Listing {
      servers = servers == null ? List.of() : List.copyOf(servers);
    }
  }

  /** Holds one listed backend server. Immutable and thread-safe. */
  public record Listed(BackendServerId id, boolean leaving) {}
}
