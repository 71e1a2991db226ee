package org.endivemux.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/** Tests which response a call gets, and how long it waits for it. */
final class BackendClientTest {
  private static final Duration FIRST_BYTE = Duration.ofSeconds(3);
  private static final Duration SLOW_UPLOAD = Duration.ofSeconds(4);
  private static final Duration MAX_WAIT = Duration.ofSeconds(30);
  private static final int SMALL_BUFFER_BYTES = 1 << 16;

  /** More than the sockets between both ends can hold, so that it is sent only while it is read. */
  private static final int BODY_BYTES = 32 << 20;

  private static final List<Integer> STATUSES = List.of(200, 409, 500, 422, 200, 404);

  @Example
  void waitForTheFirstByteStartsWhenTheBodyHasBeenSent() {
    DisposableServer server = serverThatReadsLate();
    BackendClient client = new BackendClient(limits(), new Counters(new MetricRegistry()));
    Integer status =
        client
            .send(
                callTo(server), response -> response.body().thenMany(Mono.just(response.status())))
            .blockLast(MAX_WAIT);
    server.disposeNow();
    assertThat(status).isEqualTo(200);
  }

  /** Guards against a head that joins a part of a late copy and the call's own response. */
  @Example
  void callsGetTheirOwnResponsesBesidePartsOfEarlierOnes() {
    DisposableServer server = serverThatRepeatsPartsOfHeads();
    BackendClient client = new BackendClient(limits(), new Counters(new MetricRegistry()));
    List<Integer> statuses =
        IntStream.range(0, STATUSES.size())
            .mapToObj(i -> repeatableCallTo(server, "call-" + i))
            .map(call -> client.send(call, response -> statusOf(response)).blockLast(MAX_WAIT))
            .toList();
    server.disposeNow();
    assertThat(statuses).isEqualTo(STATUSES);
  }

  private static Flux<Integer> statusOf(BackendClient.Response response) {
    return response.body().thenMany(Mono.just(response.status()));
  }

  /** Sends the start of the response before once more in front of each response. */
  private static DisposableServer serverThatRepeatsPartsOfHeads() {
    return TcpServer.create()
        .host("127.0.0.1")
        .handle(
            (in, out) -> {
              AtomicReference<String> before = new AtomicReference<>("");
              return out.sendString(
                  in.receive()
                      .asString(StandardCharsets.US_ASCII)
                      .map(request -> response(request.substring(request.indexOf("call-") + 5)))
                      .map(response -> before.getAndSet(response.substring(0, 24)) + response));
            })
        .bindNow();
  }

  private static String response(String fromCallNumber) {
    int call = Character.digit(fromCallNumber.charAt(0), 10);
    return "HTTP/1.1 %d Status\r\nX-Request-Id: call-%d\r\nContent-Length: 0\r\n\r\n"
        .formatted(STATUSES.get(call), call);
  }

  /** Reads nothing for a while, then the whole request, and answers it. */
  private static DisposableServer serverThatReadsLate() {
    return TcpServer.create()
        .host("127.0.0.1")
        .childOption(ChannelOption.SO_RCVBUF, SMALL_BUFFER_BYTES)
        .handle(
            (in, out) ->
                out.sendString(
                    Mono.delay(SLOW_UPLOAD)
                        .thenMany(in.receive().map(part -> part.readableBytes()))
                        .scan(0, Integer::sum)
                        .filter(received -> received >= BODY_BYTES)
                        .next()
                        .map(received -> "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")))
        .bindNow();
  }

  private static BackendClient.Call callTo(DisposableServer server) {
    return call(server, "upload", new byte[BODY_BYTES], false);
  }

  private static BackendClient.Call repeatableCallTo(DisposableServer server, String id) {
    return call(server, id, new byte[0], true);
  }

  private static BackendClient.Call call(
      DisposableServer server, String id, byte[] body, boolean repeatable) {
    String address = "127.0.0.1:" + ((InetSocketAddress) server.address()).getPort();
    return TestCalls.call(address, id, body, repeatable);
  }

  private static Limits limits() {
    Limits standard = Limits.standard();
    return new Limits(
        standard.bodyBytes(),
        standard.headerBytes(),
        standard.outcomeBytes(),
        standard.connect(),
        FIRST_BYTE,
        standard.betweenBytes(),
        standard.keepAlive(),
        standard.control(),
        standard.entriesLifetime(),
        standard.drain());
  }
}
