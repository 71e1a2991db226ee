package org.endivemux.wire;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/**
 * Keeps one link to another VM open.
 *
 * <p>Invariants: a heartbeat is sent and answered in each interval without a response; a link
 * without a frame for {@link LinkTiming#idleTimeout} is dropped and opened again; requests in
 * flight on a dropped link fail immediately. Thread-safe.
 */
public final class PeerLink implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final InetSocketAddress address;
  private final Hello hello;
  private final LinkTiming timing;
  private final LinkMetrics metrics;
  private final TcpClient client;
  private final AtomicLong nextCorrelation = new AtomicLong();
  private final Map<Long, Sinks.One<byte[]>> pending = new ConcurrentHashMap<>();
  private final AtomicBoolean answeredSinceTick = new AtomicBoolean();
  private volatile Channel channel;
  private volatile boolean closed;
  private volatile Disposable connecting = () -> {};

  public PeerLink(
      InetSocketAddress address,
      Hello hello,
      PeerSecurity security,
      LinkTiming timing,
      LinkMetrics metrics) {
    this.address = address;
    this.hello = hello;
    this.timing = timing;
    this.metrics = metrics;
    TcpClient plain =
        TcpClient.create(ConnectionProvider.newConnection())
            .remoteAddress(() -> address)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timing.connectTimeout().toMillis())
            .option(ChannelOption.TCP_NODELAY, true);
    this.client =
        security
            .client()
            .map(context -> plain.secure(spec -> spec.sslContext(context)))
            .orElse(plain);
  }

  /** Starts connecting and returns immediately. */
  public PeerLink start() {
    connect();
    return this;
  }

  private void connect() {
    if (closed) {
      return;
    }
    connecting = client.connect().subscribe(this::onConnected, error -> scheduleReconnect());
  }

  private void scheduleReconnect() {
    if (!closed) {
      connecting = Mono.delay(timing.reconnectDelay()).subscribe(tick -> connect());
    }
  }

  private void onConnected(Connection connection) {
    Frames.install(connection);
    connection.onReadIdle(timing.idleTimeout().toMillis(), connection::dispose);
    Frames.receive(connection, metrics, this::onFrame);
    Channel opened = connection.channel();
    Frames.write(opened, metrics, new Frame(Frame.Type.HELLO, 0, MessagePackCodec.encode(hello)));
    channel = opened;
    Disposable heartbeats =
        Flux.interval(timing.heartbeatInterval())
            .onBackpressureDrop()
            .subscribe(tick -> pingIfUnanswered(opened));
    connection.onDispose(
        () -> {
          heartbeats.dispose();
          onDisconnected();
        });
    if (closed) {
      connection.dispose();
    }
  }

  /** A response proves that the link works, so that a busy link needs no heartbeat. */
  private void pingIfUnanswered(Channel opened) {
    if (!answeredSinceTick.getAndSet(false)) {
      Frames.write(opened, metrics, Frame.of(Frame.Type.PING));
    }
  }

  private void onDisconnected() {
    channel = null;
    pending
        .values()
        .forEach(
            sink -> sink.tryEmitError(new WireException("The link to " + address + " was lost.")));
    logger.atFine().log("event=peer_link_dropped remote=%s", address);
    scheduleReconnect();
  }

  private void onFrame(Frame frame) {
    if (frame.type() != Frame.Type.RESPONSE && frame.type() != Frame.Type.FAILURE) {
      return;
    }
    answeredSinceTick.set(true);
    Sinks.One<byte[]> sink = pending.remove(frame.correlation());
    if (sink == null) {
      return;
    }
    if (frame.type() == Frame.Type.RESPONSE) {
      sink.tryEmitValue(frame.payload());
    } else {
      String text = new String(frame.payload(), StandardCharsets.UTF_8);
      sink.tryEmitError(
          new WireException("The VM at " + address + " failed to handle the request: " + text));
    }
  }

  /** Sends a one-way message; drops it if the link is down or its write buffer is full. */
  public void send(byte[] payload) {
    Channel open = channel;
    if (open != null) {
      Frames.write(open, metrics, new Frame(Frame.Type.MESSAGE, 0, payload));
    }
  }

  /** Returns whether the link is open. */
  public boolean isOpen() {
    return channel != null;
  }

  /** Sends a request; fails with {@link WireException} if the link is lost or on timeout. */
  public Mono<byte[]> request(byte[] payload, Duration timeout) {
    return Mono.defer(
        () -> {
          long correlation = nextCorrelation.incrementAndGet();
          Sinks.One<byte[]> sink = Sinks.one();
          pending.put(correlation, sink);
          Channel open = channel;
          Frame frame = new Frame(Frame.Type.REQUEST, correlation, payload);
          if (open == null || !Frames.write(open, metrics, frame)) {
            pending.remove(correlation);
            return Mono.error(
                new WireException(
                    "The link to " + address + " is down or its write buffer is full."));
          }
          return sink.asMono()
              .timeout(
                  timeout,
                  Mono.error(
                      () -> new WireException("The VM at " + address + " did not reply in time.")))
              .doFinally(signal -> pending.remove(correlation));
        });
  }

  @Override
  public void close() {
    closed = true;
    connecting.dispose();
    Channel open = channel;
    if (open != null) {
      var unused = open.close();
    }
  }
}
