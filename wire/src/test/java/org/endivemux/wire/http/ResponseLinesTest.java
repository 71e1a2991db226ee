package org.endivemux.wire.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.wire.http.ResponseFault.Reason;
import reactor.netty.NettyPipeline;

/** Tests which lines of a response are refused, however its bytes are divided into reads. */
final class ResponseLinesTest {
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
  private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n";
  private static final String EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\n";

  @Provide
  Arbitrary<String> sound() {
    return Arbitraries.of(
        HEAD + "X-Odd" + TOKEN_PUNCTUATION + "9: 1\r\nContent-Length: 4\r\n\r\nbody",
        HEAD + "X-None:\r\nX-Blank: \t \r\nContent-Length:4\r\n\r\nbody",
        HEAD + "X-Text: a: b \u00e4\t;,=\"?\r\nContent-Length: \t4 \r\n\r\nbody",
        EARLY_HINTS + "Link: x\r\n\r\n" + HEAD + "Content-Length: 4\r\n\r\nbody",
        CHUNKED + "\r\n4\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "\r\n1\r\nb\r\n0003;x=\"y z\";q\r\nody\r\n0\r\nX-Trailer: 1\r\nX: 2\r\n\r\n",
        CHUNKED + "\r\n1 ;a\r\nb\r\n3\r\nody\r\n000;a=b\r\n\r\n");
  }

  @Provide
  Arbitrary<String> malformed() {
    return Arbitraries.of(
        HEAD + "X Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
        HEAD + "Content-Length : 4\r\n\r\nbody and more",
        HEAD + "no colon\r\nContent-Length: 4\r\n\r\nbody",
        HEAD + "X-Folded: 1\r\n 2\r\nContent-Length: 4\r\n\r\nbody",
        EARLY_HINTS + "Li nk: x\r\n\r\n" + HEAD + "Content-Length: 4\r\n\r\nbody",
        CHUNKED + "\r\n4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n",
        CHUNKED + "\r\n4\r\nbody\r\n0\r\nno colon\r\n\r\n",
        CHUNKED + "\r\n\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "\r\n-4\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "\r\n0x4\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "\r\n4,4\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "\r\n3\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "\r\n00000000000000004\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "\r\n4;\u0001\r\nbody\r\n0\r\n\r\n");
  }

  /** Guards against sound responses being refused. */
  @Property(tries = 1_000, seed = "51")
  void soundResponseIsPassedOn(
      @ForAll("sound") String bytes, @ForAll long segments, @ForAll @IntRange(max = 1) int before) {
    Client client = new Client(before);
    client.receive(bytes, new Random(segments));
    FullHttpResponse response = client.channel.readInbound();
    assertThat(response.content().toString(StandardCharsets.US_ASCII)).isEqualTo("body");
    assertThat(client.listener.faults()).isEmpty();
    response.release();
  }

  /** Guards against a malformed line that two reads share, or that follows another response. */
  @Property(tries = 2_000, seed = "51")
  void malformedLineIsAFault(
      @ForAll("malformed") String bytes,
      @ForAll long segments,
      @ForAll @IntRange(max = 1) int before) {
    Client client = new Client(before);
    Throwable error = catchThrowable(() -> client.receive(bytes, new Random(segments)));
    assertThat(error).isInstanceOf(ResponseFaultException.class);
    assertThat(client.channel.<Object>readInbound()).isNull();
    assertThat(client.channel.isOpen()).isFalse();
    assertThat(client.listener.faults())
        .extracting(ResponseFault::reason)
        .containsExactly(Reason.MALFORMED_LINE);
  }

  /** Plays a client on one connection. */
  private static final class Client {
    private final RecordingListener listener = new RecordingListener();
    private final EmbeddedChannel channel = new EmbeddedChannel();

    /**
     * @param before how many requests the connection has served
     */
    private Client(int before) {
      channel
          .pipeline()
          .addLast(NettyPipeline.HttpCodec, new ExchangeCodec("Request-Id", listener))
          .addLast(new HttpObjectAggregator(1 << 16));
      for (int i = 0; i < before; i++) {
        send("before-" + i);
        receive("HTTP/1.1 204 None\r\nRequest-Id: before-" + i + "\r\n\r\n");
        channel.<FullHttpResponse>readInbound().release();
      }
      send("a");
    }

    private void send(String id) {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
      request.headers().set("Request-Id", id);
      channel.writeOutbound(request);
    }

    /** Receives bytes in segments of random lengths. */
    private void receive(String bytes, Random lengths) {
      int from = 0;
      while (from < bytes.length()) {
        int to = Math.min(bytes.length(), from + 1 + lengths.nextInt(30));
        receive(bytes.substring(from, to));
        from = to;
      }
    }

    private void receive(String bytes) {
      if (channel.isOpen()) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
      }
    }
  }
}
