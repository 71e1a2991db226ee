package org.endivemux.testing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Forwards TCP connections and injects faults.
 *
 * <p>The bytes of one connection keep their order and have no gaps, also when the mode or the delay
 * changes: a direction that has discarded bytes stays silent. A packet loss appears as a stall, as
 * it does to users of TCP. An end that one side makes in order is passed on in order, and any other
 * end as a reset. Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {
  /** Lists how the proxy treats connections and their bytes. */
  public enum Mode {
    PASS,
    /** Closes all connections, and new ones as soon as they are accepted. */
    CUT,
    /** Discards bytes in both directions; closes no connection. */
    SILENT,
    /** Discards bytes towards the target. */
    SILENT_TO_TARGET,
    /** Discards bytes from the target. */
    SILENT_FROM_TARGET
  }

  private static final int STALL_MILLIS = 200;

  private final InetSocketAddress target;
  private final DisposableServer server;
  private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
  private final Random random;
  private volatile Mode mode = Mode.PASS;
  private volatile int delayMillis;
  private volatile int jitterMillis;
  private volatile double lossShare;

  public FaultProxy(int port, int targetPort, long seed) {
    this(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
        seed);
  }

  public FaultProxy(InetSocketAddress address, InetSocketAddress target, long seed) {
    this.target = target;
    this.random = new Random(seed);
    this.server =
        TcpServer.create()
            .bindAddress(() -> address)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .doOnConnection(this::accept)
            .handle((in, out) -> Mono.never())
            .bindNow();
  }

  /**
   * Emulates a slow link: delays each chunk by a fixed time plus a random jitter, and stalls a
   * share of the chunks.
   */
  public FaultProxy degrade(int newDelayMillis, int newJitterMillis, double newLossShare) {
    delayMillis = newDelayMillis;
    jitterMillis = newJitterMillis;
    lossShare = newLossShare;
    return this;
  }

  /** Sets the mode for all present and new connections. */
  public void mode(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.CUT) {
      pipes.forEach(Pipe::close);
    }
  }

  /** Discards all bytes of the present connections permanently; new connections work. */
  public void silencePresentConnections() {
    pipes.forEach(pipe -> pipe.silent = true);
  }

  private void accept(Connection incoming) {
    Channel channel = incoming.channel();
    channel.config().setAutoRead(false);
    if (mode == Mode.CUT) {
      close(channel);
      return;
    }
    TcpClient.newConnection()
        .remoteAddress(() -> target)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .connect()
        .subscribe(
            outgoing -> new Pipe(channel, outgoing.channel()).start(), error -> close(channel));
  }

  private static void close(Channel channel) {
    var unused = channel.close();
  }

  private static void reset(Channel channel) {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                close(channel);
              }
            });
  }

  /** Resets the present connections; new ones work. */
  public void resetPresentConnections() {
    pipes.forEach(Pipe::reset);
  }

  /** Returns the port to connect to. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    pipes.forEach(Pipe::close);
    server.disposeNow();
  }

  /** One proxied connection with its two ends. Thread-safe. */
  private final class Pipe {
    private final Channel incoming;
    private final Channel outgoing;
    private volatile boolean silent;

    Pipe(Channel incoming, Channel outgoing) {
      this.incoming = incoming;
      this.outgoing = outgoing;
    }

    void start() {
      pipes.add(this);
      incoming.pipeline().addFirst("pipe", new Relay(this, outgoing, true));
      outgoing.pipeline().addFirst("pipe", new Relay(this, incoming, false));
      incoming.config().setAutoRead(true);
      outgoing.config().setAutoRead(true);
      incoming.read();
    }

    boolean drops(boolean towardsTarget) {
      Mode now = mode;
      return silent
          || now == Mode.SILENT
          || (now == Mode.SILENT_TO_TARGET && towardsTarget)
          || (now == Mode.SILENT_FROM_TARGET && !towardsTarget);
    }

    void close() {
      pipes.remove(this);
      FaultProxy.close(incoming);
      FaultProxy.close(outgoing);
    }

    void reset() {
      pipes.remove(this);
      FaultProxy.reset(incoming);
      FaultProxy.reset(outgoing);
    }

    /**
     * Closes the other end after one of them was closed, unless a silent mode hides that.
     *
     * @param isInOrder whether the end was closed in order; otherwise the other one is reset
     */
    void onClosed(boolean towardsTarget, boolean isInOrder) {
      if (drops(towardsTarget) || !pipes.remove(this)) {
        return;
      }
      Channel other = towardsTarget ? outgoing : incoming;
      if (isInOrder) {
        FaultProxy.close(other);
      } else {
        FaultProxy.reset(other);
      }
    }
  }

  /** Forwards one direction of a pipe; runs on the event loop of its source. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Pipe pipe;
    private final Channel to;
    private final boolean towardsTarget;
    private final Deque<ByteBuf> delayed = new ArrayDeque<>();
    private long lastDueNanos;
    private boolean hasDropped;
    private boolean isBroken;
    private boolean hasEnded;

    Relay(Pipe pipe, Channel to, boolean towardsTarget) {
      this.pipe = pipe;
      this.to = to;
      this.towardsTarget = towardsTarget;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (drops()) {
        ReferenceCountUtil.release(message);
      } else if (delayMillis == 0 && delayed.isEmpty()) {
        write((ByteBuf) message);
      } else {
        delay(context, (ByteBuf) message);
      }
    }

    private void delay(ChannelHandlerContext context, ByteBuf bytes) {
      delayed.addLast(bytes);
      long due = Math.max(lastDueNanos, System.nanoTime() + delayNanos());
      lastDueNanos = due;
      var unused =
          context
              .executor()
              .schedule(this::writeNext, due - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private long delayNanos() {
      int stall = lossShare > 0 && random.nextDouble() < lossShare ? STALL_MILLIS : 0;
      int jitter = jitterMillis == 0 ? 0 : random.nextInt(jitterMillis);
      return TimeUnit.MILLISECONDS.toNanos((long) delayMillis + jitter + stall);
    }

    private void writeNext() {
      ByteBuf bytes = delayed.removeFirst();
      if (drops()) {
        bytes.release();
      } else {
        write(bytes);
      }
    }

    /** Returns whether bytes are discarded; from the first one on all of this direction are. */
    private boolean drops() {
      hasDropped = hasDropped || pipe.drops(towardsTarget);
      return hasDropped;
    }

    private void write(ByteBuf bytes) {
      var unused = to.writeAndFlush(bytes);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        hasEnded = !isBroken && !hasDropped && delayed.isEmpty();
        FaultProxy.close(context.channel());
      }
      context.fireUserEventTriggered(event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      isBroken = true;
      context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      pipe.onClosed(towardsTarget, hasEnded);
      context.fireChannelInactive();
    }
  }
}
