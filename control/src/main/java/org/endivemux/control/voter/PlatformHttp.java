package org.endivemux.control.voter;

import io.netty.channel.ChannelOption;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.endivemux.control.ControlException;
import org.endivemux.wire.BoundedBytes;
import org.endivemux.wire.http.ExchangeCodec;
import org.endivemux.wire.http.FaultLog;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Makes HTTP clients for the platform's API.
 *
 * <p>The platform's responses name no call. Invariant: each call has a connection of its own, so
 * that bytes that belong to one call are never taken for the response to another. Stateless and
 * thread-safe.
 */
public final class PlatformHttp {
  /** Counts nothing, since each fault fails a call, which is counted. */
  private static final FaultLog FAULT_LOG = new FaultLog("platform_", bytes -> {}, reason -> {});

  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  /** Far more than a page of the list of backend servers needs. */
  private static final int MAX_REPLY_BYTES = 4 << 20;

  private PlatformHttp() {}

  /** Returns a reply's body as text; fails as soon as it is too long for any valid reply. */
  public static Mono<String> text(ByteBufFlux body) {
    return BoundedBytes.collect(
            body.asByteArray(),
            MAX_REPLY_BYTES,
            () -> new ControlException("The platform's reply is too long."))
        .map(bytes -> new String(bytes, StandardCharsets.UTF_8));
  }

  /** Returns a client that sends each call once and waits for its response up to a timeout. */
  public static HttpClient client(String address, Duration timeout) {
    HttpClient client = HttpClient.create(ConnectionProvider.newConnection());
    return ExchangeCodec.installWithoutIds(client, FAULT_LOG)
        .baseUrl("http://" + address)
        .disableRetry(true)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .responseTimeout(timeout);
  }

  /** Returns a client for orders, which sends nothing without the lease. */
  public static HttpClient orders(String address, Duration timeout, BooleanSupplier holdsLease) {
    return client(address, timeout)
        .doOnConnected(
            connection ->
                connection.channel().pipeline().addFirst("leaseGate", new LeaseGate(holdsLease)));
  }
}
