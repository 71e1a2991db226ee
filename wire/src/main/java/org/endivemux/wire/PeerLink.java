package org.endivemux.wire;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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
 * <p>Invariants: heartbeats go both ways; a link that is silent for longer than {@link
 * LinkTiming#silence} is dropped and dialled anew; requests in flight on a dropped link fail at
 * once. Thread-safe.
 */
public final class PeerLink implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final InetSocketAddress address;
  private final Hello hello;
  private final LinkTiming timing;
  private final LinkMetrics metrics;
  private final TcpClient client;
  private final AtomicLong correlations = new AtomicLong();
  private final Map<Long, Sinks.One<byte[]>> pending = new ConcurrentHashMap<>();
  private volatile Channel channel;
  private volatile boolean closed;
  private volatile Disposable dialling = () -> {};

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
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timing.connect().toMillis())
            .option(ChannelOption.TCP_NODELAY, true);
    this.client =
        security
            .client()
            .map(context -> plain.secure(spec -> spec.sslContext(context)))
            .orElse(plain);
  }

  /** Starts to dial; returns at once. */
  public PeerLink start() {
    dial();
    return this;
  }

  private void dial() {
    if (closed) {
      return;
    }
    dialling = client.connect().subscribe(this::opened, error -> redial());
  }

  private void redial() {
    if (!closed) {
      dialling = Mono.delay(timing.redial()).subscribe(tick -> dial());
    }
  }

  private void opened(Connection connection) {
    Frames.install(connection);
    connection.onReadIdle(timing.silence().toMillis(), connection::dispose);
    Frames.receive(connection, metrics, this::onFrame);
    Channel opened = connection.channel();
    Frames.write(opened, metrics, new Frame(Frame.Type.HELLO, 0, MessagePackCodec.encode(hello)));
    channel = opened;
    Disposable pings =
        Flux.interval(timing.ping())
            .onBackpressureDrop()
            .subscribe(tick -> Frames.write(opened, metrics, Frame.of(Frame.Type.PING)));
    connection.onDispose(
        () -> {
          pings.dispose();
          dropped();
        });
    if (closed) {
      connection.dispose();
    }
  }

  private void dropped() {
    channel = null;
    pending
        .values()
        .forEach(
            sink -> sink.tryEmitError(new WireException("The link to " + address + " broke.")));
    logger.atFine().log("event=peer_link_dropped remote=%s", address);
    redial();
  }

  private void onFrame(Frame frame) {
    if (frame.type() != Frame.Type.RESPONSE && frame.type() != Frame.Type.FAILURE) {
      return;
    }
    Sinks.One<byte[]> sink = pending.remove(frame.correlation());
    if (sink == null) {
      return;
    }
    if (frame.type() == Frame.Type.RESPONSE) {
      sink.tryEmitValue(frame.payload());
    } else {
      String text = new String(frame.payload(), StandardCharsets.UTF_8);
      sink.tryEmitError(new WireException("The VM at " + address + " failed: " + text));
    }
  }

  /** Sends a message without an answer; drops it when the link is down or full. */
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

  /** Sends a request; fails with {@link WireException} when the link breaks or time is up. */
  public Mono<byte[]> request(byte[] payload, Duration limit) {
    return Mono.defer(
        () -> {
          long correlation = correlations.incrementAndGet();
          Sinks.One<byte[]> sink = Sinks.one();
          pending.put(correlation, sink);
          Channel open = channel;
          Frame frame = new Frame(Frame.Type.REQUEST, correlation, payload);
          if (open == null || !Frames.write(open, metrics, frame)) {
            pending.remove(correlation);
            return Mono.error(new WireException("The link to " + address + " is not open."));
          }
          return sink.asMono()
              .timeout(
                  limit, Mono.error(() -> new WireException("The VM at " + address + " is late.")))
              .doFinally(signal -> pending.remove(correlation));
        });
  }

  @Override
  public void close() {
    closed = true;
    dialling.dispose();
    Channel open = channel;
    if (open != null) {
      var unused = open.close();
    }
  }
}
