package org.endivemux.control.voter;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Makes HTTP clients for the platform's interface. Stateless and thread-safe. */
public final class PlatformHttp {
  private static final int CONNECT_MILLIS = 700;

  private PlatformHttp() {}

  /** Returns a client that sends each call once and gives up after a limit. */
  public static HttpClient client(ConnectionProvider connections, String address, Duration limit) {
    return HttpClient.create(connections)
        .baseUrl("http://" + address)
        .disableRetry(true)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .responseTimeout(limit);
  }

  /** Returns a client for orders: a new connection each, and nothing leaves without the lease. */
  public static HttpClient orders(String address, Duration limit, BooleanSupplier holdsLease) {
    return client(ConnectionProvider.newConnection(), address, limit)
        .doOnConnected(
            connection ->
                connection.channel().pipeline().addFirst("leaseGate", new LeaseGate(holdsLease)));
  }
}
