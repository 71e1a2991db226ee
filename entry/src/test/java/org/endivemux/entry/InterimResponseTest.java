package org.endivemux.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Tests that an interim response neither ends its call nor lets the next call take its response.
 */
final class InterimResponseTest {
  private static final Duration LIMIT = Duration.ofSeconds(5);
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

  /** Guards against a caller that gets a response 101 to 199 as the response to its call. */
  @Example
  void interimResponseDoesNotEndItsCall() {
    assertThat(outcomes(List.of(INTERIM + response(200, 0)))).containsExactly("200");
  }

  /** Guards against a response 101, after which no HTTP follows, that reaches a caller. */
  @Example
  void switchOfProtocolsIsAnError() {
    String switching = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n";
    assertThat(outcomes(List.of(switching)).get(0)).startsWith("failed");
  }

  /**
   * Guards against a connection that counts as new after an interim response: the first part of the
   * response that was still due gives its status to the next one.
   */
  @Example
  void responseDueAfterAnInterimOneIsNotJoinedWithTheNext() {
    String due = "HTTP/1.1 200 OK\r\nX-Part: ";
    assertThat(outcomes(List.of(INTERIM, response(409, 1)), due).get(1)).isEqualTo("409");
  }

  private static List<String> outcomes(List<String> responses) {
    return outcomes(responses, "");
  }

  /**
   * Makes one call after the other to a server that sends these bytes for each.
   *
   * @param due precedes the bytes for all but the first call on a connection
   */
  private static List<String> outcomes(List<String> responses, String due) {
    AtomicInteger next = new AtomicInteger();
    DisposableServer server =
        TcpServer.create()
            .host("127.0.0.1")
            .handle(
                (in, out) ->
                    out.sendString(
                        in.receive()
                            .asString(StandardCharsets.US_ASCII)
                            .index()
                            .map(
                                request ->
                                    (request.getT1() == 0 ? "" : due)
                                        + responses.get(next.getAndIncrement()))))
            .bindNow();
    BackendClient client = new BackendClient(Limits.standard(), new Counters(new MetricRegistry()));
    List<String> outcomes =
        Flux.range(0, responses.size())
            .concatMap(call -> outcome(client, server, call))
            .collectList()
            .block(LIMIT.multipliedBy(3));
    server.disposeNow();
    return outcomes;
  }

  private static Mono<String> outcome(BackendClient client, DisposableServer server, int call) {
    return client
        .send(
            callTo(server, call),
            response -> response.body().thenMany(Mono.just("" + response.status())))
        .next()
        .timeout(LIMIT)
        .onErrorResume(error -> Mono.just("failed: " + error));
  }

  private static BackendClient.Call callTo(DisposableServer server, int call) {
    String address = "127.0.0.1:" + ((InetSocketAddress) server.address()).getPort();
    return TestCalls.call(address, "call-" + call, new byte[0], true);
  }

  private static String response(int status, int call) {
    return "HTTP/1.1 %d Status\r\nContent-Length: 2\r\n%s: call-%d\r\n\r\nok"
        .formatted(status, Exchange.REQUEST_ID, call);
  }
}
