package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import net.jqwik.api.Example;

/** Tests that an entry runs no request whose body has no sound end. */
final class MalformedBodyTest {
  private static final String BAD_REQUEST = "HTTP/1.1 400 ";

  /** Guards against a part of a body that runs as the whole, while its caller gets a 400. */
  @Example
  void saleWithMalformedChunksIsNotRun() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      Vm vm = cluster.vms.get(0);
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      String malformed = "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\nzz\r\n";
      assertThat(statusOfSale(vm, key, id, malformed)).startsWith(BAD_REQUEST);
      assertThat(Cluster.sale(vm, key, id, "{\"eggs\":1}").status()).isEqualTo(200);
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
    }
  }

  /** Guards against a body that is taken for the next request on its connection. */
  @Example
  void saleWithoutAKnownEndIsNotRunNorIsItsBody() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      Vm vm = cluster.vms.get(0);
      String key = cluster.key("eggs");
      String id = Cluster.newIdempotencyKey();
      String inside = Cluster.newIdempotencyKey();
      String body = headOfSale(key, inside) + "Content-Length: 2\r\n\r\n{}";
      assertThat(statusOfSale(vm, key, id, "Transfer-Encoding: gzip\r\n\r\n" + body))
          .startsWith(BAD_REQUEST);
      assertThat(Cluster.sale(vm, key, id, "{\"eggs\":1}").status()).isEqualTo(200);
      assertThat(Cluster.sale(vm, key, inside, "{\"eggs\":1}").status()).isEqualTo(200);
      assertThat(cluster.till.runsOf(id)).isEqualTo(1);
      assertThat(cluster.till.runsOf(inside)).isEqualTo(1);
    }
  }

  private static String headOfSale(String key, String id) {
    return "POST /services/till/sales HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        + key
        + "\r\nIdempotency-Key: "
        + id
        + "\r\n";
  }

  private static String statusOfSale(Vm vm, String key, String id, String rest) {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), vm.httpPort);
    try (RawCall call = RawCall.send(address, headOfSale(key, id) + rest)) {
      return call.readUntil("\r\n\r\n");
    }
  }
}
