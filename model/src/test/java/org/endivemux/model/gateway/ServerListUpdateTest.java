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

/** Checks that an update turns any list into any other, and contains only the changes. */
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

  private static List<GatewayServer> randomServers(Random random) {
    return IntStream.range(0, 40)
        .filter(i -> random.nextBoolean())
        .mapToObj(i -> server(i, random.nextInt(4) == 0))
        .toList();
  }

  @Property(tries = 100, seed = "31")
  void updateTurnsAnyListIntoAnyOther(@ForAll long seed) {
    Random random = new Random(seed);
    List<GatewayServer> older = randomServers(random);
    List<GatewayServer> newer = randomServers(random);
    assertThat(ServerListUpdate.between(older, newer).applyTo(older)).isEqualTo(newer);
    assertThat(ServerListUpdate.whole(newer).applyTo(older)).isEqualTo(newer);
  }

  @Example
  void updateForOneLeavingServerOfSixHundredContainsOneServer() {
    List<GatewayServer> older = IntStream.range(0, 600).mapToObj(i -> server(i, false)).toList();
    List<GatewayServer> newer = IntStream.range(0, 600).mapToObj(i -> server(i, i == 7)).toList();
    ServerListUpdate update = ServerListUpdate.between(older, newer);
    assertThat(update.present()).containsExactly(server(7, true));
    assertThat(update.gone()).isEmpty();
  }
}
