package org.endivemux.model.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;

/** Shows that updates lead from any list to any other, and stay small. */
final class ServerListUpdateTest {
  private static GatewayServer server(int number, boolean leaving) {
    return new GatewayServer(
        new BackendServerId("s" + (1000 + number)),
        new ServiceName("llm"),
        "10.0.0." + number,
        new FailureDomain("a"),
        8,
        leaving,
        ServerKind.CHEAP);
  }

  private static List<GatewayServer> some(Random random) {
    return IntStream.range(0, 40)
        .filter(i -> random.nextBoolean())
        .mapToObj(i -> server(i, random.nextInt(4) == 0))
        .toList();
  }

  @Property(tries = 100, seed = "31")
  void updateLeadsFromAnyListToAnyOther(@ForAll long seed) {
    Random random = new Random(seed);
    List<GatewayServer> older = some(random);
    List<GatewayServer> newer = some(random);
    assertThat(ServerListUpdate.between(older, newer).applyTo(older)).isEqualTo(newer);
    assertThat(ServerListUpdate.whole(newer).applyTo(older)).isEqualTo(newer);
  }

  @Example
  void oneServerThatLeavesIsOneEntryAmongSixHundred() {
    List<GatewayServer> older = IntStream.range(0, 600).mapToObj(i -> server(i, false)).toList();
    List<GatewayServer> newer = IntStream.range(0, 600).mapToObj(i -> server(i, i == 7)).toList();
    ServerListUpdate update = ServerListUpdate.between(older, newer);
    assertThat(update.present()).containsExactly(server(7, true));
    assertThat(update.gone()).isEmpty();
  }
}
