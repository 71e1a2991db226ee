package org.endivemux.control.voter;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Makes HTTP clients for the platform's API. Stateless and thread-safe. */
public final class PlatformHttp {
  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  private PlatformHttp() {}

  /** Returns a client that sends each call once and waits for its response up to a timeout. */
  public static HttpClient client(
      ConnectionProvider connections, String address, Duration timeout) {
    return HttpClient.create(connections)
        .baseUrl("http://" + address)
        .disableRetry(true)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .responseTimeout(timeout);
  }

  /**
   * Returns a client for orders, which opens a new connection for each call and sends nothing
   * without the lease.
   */
  public static HttpClient orders(String address, Duration timeout, BooleanSupplier holdsLease) {
    return client(ConnectionProvider.newConnection(), address, timeout)
        .doOnConnected(
            connection ->
                connection.channel().pipeline().addFirst("leaseGate", new LeaseGate(holdsLease)));
  }
}
