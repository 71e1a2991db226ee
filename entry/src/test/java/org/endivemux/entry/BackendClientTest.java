package org.endivemux.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.wire.SendMarker;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/** Tests how long a call waits for its response. */
final class BackendClientTest {
  private static final Duration FIRST_BYTE = Duration.ofSeconds(3);
  private static final Duration SLOW_UPLOAD = Duration.ofSeconds(4);
  private static final Duration MAX_WAIT = Duration.ofSeconds(30);
  private static final int SMALL_BUFFER_BYTES = 1 << 16;

  /** More than the sockets between both ends can hold, so that it is sent only while it is read. */
  private static final int BODY_BYTES = 32 << 20;

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
    String address = "127.0.0.1:" + ((InetSocketAddress) server.address()).getPort();
    return new BackendClient.Call(
        new RequestId("upload"),
        new BackendServer(
            new BackendServerId("b-1"),
            address,
            new FailureDomain("d0"),
            ServerKind.STEADY,
            List.of("till"),
            1,
            0,
            false),
        HttpMethod.POST,
        "/",
        new DefaultHttpHeaders(),
        new byte[BODY_BYTES],
        false,
        new SendMarker());
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
