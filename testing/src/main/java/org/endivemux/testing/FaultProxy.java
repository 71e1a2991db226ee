package org.endivemux.testing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * Passes TCP connections on, with faults.
 *
 * <p>Bytes of one connection keep their order; a loss is a stall, as TCP shows it. Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {
  /** Lists what is done with bytes. */
  public enum Mode {
    PASS,
    /** Connections are closed and new ones refused at once. */
    CUT,
    /** Bytes vanish both ways, and nothing is closed. */
    SILENT,
    /** Bytes towards the target vanish. */
    SILENT_TO_TARGET,
    /** Bytes from the target vanish. */
    SILENT_FROM_TARGET
  }

  private static final int STALL_MILLIS = 200;

  private final InetSocketAddress target;
  private final DisposableServer server;
  private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
  private final Random random;
  private volatile Mode mode = Mode.PASS;
  private volatile int delayMillis;
  private volatile int spreadMillis;
  private volatile double loss;

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
            .doOnConnection(this::accept)
            .handle((in, out) -> Mono.never())
            .bindNow();
  }

  /** Delays every byte by a time with a spread, and stalls a part of the pieces. */
  public FaultProxy degrade(int millis, int spread, double lossShare) {
    delayMillis = millis;
    spreadMillis = spread;
    loss = lossShare;
    return this;
  }

  /** Changes what is done with bytes of all connections. */
  public void mode(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.CUT) {
      pipes.forEach(Pipe::close);
    }
  }

  /** Makes the present connections silent for good while new ones work. */
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
        .connect()
        .subscribe(
            outgoing -> new Pipe(channel, outgoing.channel()).start(), error -> close(channel));
  }

  private static void close(Channel channel) {
    var unused = channel.close();
  }

  /** Closes the present connections; new ones work. */
  public void resetPresentConnections() {
    pipes.forEach(Pipe::close);
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

  /** Is one connection with its two ends. Thread-safe. */
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

    /** Closes both ends unless a silent fault hides that one has gone. */
    void ended(boolean towardsTarget) {
      if (!drops(towardsTarget)) {
        close();
      }
    }
  }

  /** Passes one direction of a pipe on; runs on the event loop of its source. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Pipe pipe;
    private final Channel to;
    private final boolean towardsTarget;
    private final Deque<ByteBuf> delayed = new ArrayDeque<>();
    private long lastDueNanos;

    Relay(Pipe pipe, Channel to, boolean towardsTarget) {
      this.pipe = pipe;
      this.to = to;
      this.towardsTarget = towardsTarget;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (pipe.drops(towardsTarget)) {
        ReferenceCountUtil.release(message);
      } else if (delayMillis == 0) {
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
      int stall = loss > 0 && random.nextDouble() < loss ? STALL_MILLIS : 0;
      int spread = spreadMillis == 0 ? 0 : random.nextInt(spreadMillis);
      return TimeUnit.MILLISECONDS.toNanos((long) delayMillis + spread + stall);
    }

    private void writeNext() {
      ByteBuf bytes = delayed.removeFirst();
      if (pipe.drops(towardsTarget)) {
        bytes.release();
      } else {
        write(bytes);
      }
    }

    private void write(ByteBuf bytes) {
      var unused = to.writeAndFlush(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      pipe.ended(towardsTarget);
      context.fireChannelInactive();
    }
  }
}
