package org.endivemux.wire;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Accepts links from other VMs.
 *
 * <p>Invariants: the first frame of a link must be a hello of the same protocol version and be
 * complete within {@link LinkTiming#idleTimeout}, or the link is closed; a link on which nothing
 * arrives for as long is closed. Thread-safe.
 */
public final class PeerServer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final InetSocketAddress address;
  private final PeerHandler handler;
  private final PeerSecurity security;
  private final LinkTiming timing;
  private final LinkMetrics metrics;

  public PeerServer(
      InetSocketAddress address,
      PeerHandler handler,
      PeerSecurity security,
      LinkTiming timing,
      LinkMetrics metrics) {
    this.address = address;
    this.handler = handler;
    this.security = security;
    this.timing = timing;
    this.metrics = metrics;
  }

  /** Binds the port; throws {@code ChannelBindException} if it is in use. */
  public DisposableServer start() {
    TcpServer plain = TcpServer.create().bindAddress(() -> address).doOnConnection(this::accept);
    TcpServer server =
        security
            .server()
            .map(context -> plain.secure(spec -> spec.sslContext(context)))
            .orElse(plain);
    return server.handle((in, out) -> Mono.never()).bindNow(Duration.ofSeconds(10));
  }

  private void accept(Connection connection) {
    Frames.install(connection);
    connection.onReadIdle(timing.idleTimeout().toMillis(), connection::dispose);
    AtomicReference<Hello> hello = new AtomicReference<>();
    Frames.receive(connection, metrics, frame -> onFrame(connection.channel(), hello, frame));
    var unused =
        connection
            .channel()
            .eventLoop()
            .schedule(
                () -> closeWithoutHello(connection.channel(), hello),
                timing.idleTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
  }

  private static void closeWithoutHello(Channel channel, AtomicReference<Hello> hello) {
    if (hello.get() == null) {
      var unused = channel.close();
    }
  }

  private void onFrame(Channel channel, AtomicReference<Hello> hello, Frame frame) {
    if (frame.type() == Frame.Type.HELLO) {
      Hello received = MessagePackCodec.decode(frame.payload(), Hello.class);
      if (received.version() != Hello.VERSION) {
        logger.atWarning().log(
            "event=peer_version vm=%s version=%d", received.vm(), received.version());
        var unused = channel.close();
        return;
      }
      hello.set(received);
      return;
    }
    if (hello.get() == null) {
      logger.atWarning().log("event=peer_without_hello remote=%s", channel.remoteAddress());
      var unused = channel.close();
      return;
    }
    switch (frame.type()) {
      case PING -> Frames.write(channel, metrics, Frame.of(Frame.Type.PONG));
      case MESSAGE -> handler.onMessage(hello.get(), frame.payload());
      case REQUEST -> handleRequest(channel, hello.get(), frame);
      default -> logger.atWarning().log("event=peer_unexpected type=%s", frame.type());
    }
  }

  private void handleRequest(Channel channel, Hello from, Frame request) {
    Mono.defer(() -> handler.onRequest(from, request.payload()))
        .subscribe(
            payload ->
                Frames.write(
                    channel,
                    metrics,
                    new Frame(Frame.Type.RESPONSE, request.correlation(), payload)),
            error -> {
              logger.atWarning().withCause(error).log("event=peer_request_failed vm=%s", from.vm());
              byte[] text = String.valueOf(error.getMessage()).getBytes(StandardCharsets.UTF_8);
              Frames.write(
                  channel, metrics, new Frame(Frame.Type.FAILURE, request.correlation(), text));
            });
  }
}
