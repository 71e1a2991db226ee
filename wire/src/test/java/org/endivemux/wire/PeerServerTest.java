package org.endivemux.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpClient;

/** Tests that bytes without end from an unknown peer are bounded and close its link. */
final class PeerServerTest {
  private static final Duration MAX_WAIT = Duration.ofSeconds(30);

  /** One frame of the largest size, and what socket buffers hold. */
  private static final long MAX_BYTES_TAKEN = Frame.MAX_BYTES + (64L << 20);

  private static final int FILLER_BYTES = 1 << 14;

  /** Lists what a peer sends in place of a hello, without end. */
  enum Sent {
    TOO_LONG_FRAME(Integer.MAX_VALUE, Duration.ZERO, FILLER_BYTES),
    LONGEST_FRAME(Frame.MAX_BYTES, Duration.ZERO, FILLER_BYTES),
    EMPTY_FRAMES(0, Duration.ZERO, FILLER_BYTES),
    SINGLE_BYTES_OF_A_FRAME(100_000, Duration.ofMillis(50), 1);

    private final int statedFrameBytes;
    private final Duration pause;
    private final int partBytes;

    Sent(int statedFrameBytes, Duration pause, int partBytes) {
      this.statedFrameBytes = statedFrameBytes;
      this.pause = pause;
      this.partBytes = partBytes;
    }

    private Flux<byte[]> parts() {
      Flux<byte[]> parts = Flux.generate(sink -> sink.next(new byte[partBytes]));
      return pause.isZero() ? parts : parts.delayElements(pause);
    }
  }

  @Property(tries = 4)
  void endlessBytesOfAnUnknownPeerCloseItsLink(@ForAll Sent sent) throws InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    AtomicLong bytesTaken = new AtomicLong();
    DisposableServer server = startServer(new RefusingHandler());
    TcpClient.create()
        .remoteAddress(
            () -> new InetSocketAddress(InetAddress.getLoopbackAddress(), portOf(server)))
        .doOnConnected(connection -> connection.onDispose(closed::countDown))
        .handle(
            (in, out) ->
                out.sendByteArray(Mono.just(lengthOf(sent.statedFrameBytes)))
                    .send(
                        sent.parts()
                            .doOnNext(part -> bytesTaken.addAndGet(part.length))
                            .map(Unpooled::wrappedBuffer),
                        buffer -> true))
        .connect()
        .subscribe();
    assertThat(closed.await(MAX_WAIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    assertThat(bytesTaken.get()).isLessThan(MAX_BYTES_TAKEN);
    server.disposeNow();
  }

  /** Guards against messages of a build with other formats that follow its hello at once. */
  @Example
  void messageOfABuildWithAnotherVersionIsNotHandled() throws InterruptedException {
    CountDownLatch closed = new CountDownLatch(1);
    RefusingHandler handler = new RefusingHandler();
    DisposableServer server = startServer(handler);
    Hello hello = new Hello(Hello.VERSION - 1, new VmId("127.0.0.1:1"), new Incarnation("i"));
    Frame first = new Frame(Frame.Type.HELLO, 0, MessagePackCodec.encode(hello));
    Frame second = new Frame(Frame.Type.MESSAGE, 0, new byte[1]);
    TcpClient.create()
        .remoteAddress(
            () -> new InetSocketAddress(InetAddress.getLoopbackAddress(), portOf(server)))
        .doOnConnected(connection -> connection.onDispose(closed::countDown))
        .handle(
            (in, out) ->
                out.send(
                        Mono.just(
                            Unpooled.wrappedBuffer(
                                first.toBuffer(ByteBufAllocator.DEFAULT),
                                second.toBuffer(ByteBufAllocator.DEFAULT))))
                    .then(in.receive().then()))
        .connect()
        .subscribe();
    assertThat(closed.await(MAX_WAIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    assertThat(handler.handled).hasValue(0);
    server.disposeNow();
  }

  private static byte[] lengthOf(int bytes) {
    return ByteBuffer.allocate(Frame.LENGTH_BYTES).putInt(bytes).array();
  }

  private static int portOf(DisposableServer server) {
    return ((InetSocketAddress) server.address()).getPort();
  }

  private static DisposableServer startServer(PeerHandler handler) {
    return new PeerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            handler,
            PeerSecurity.none(),
            LinkTiming.standard(),
            LinkMetrics.of(new MetricRegistry()))
        .start();
  }

  /** Fails the test's peer if its frames are ever handled. */
  private static final class RefusingHandler implements PeerHandler {
    private final AtomicInteger handled = new AtomicInteger();

    @Override
    public void onMessage(Hello from, byte[] payload) {
      handled.incrementAndGet();
      throw new AssertionError("A message of an unknown peer was handled.");
    }

    @Override
    public Mono<byte[]> onRequest(Hello from, byte[] payload) {
      return Mono.error(new AssertionError("A request of an unknown peer was handled."));
    }
  }
}
