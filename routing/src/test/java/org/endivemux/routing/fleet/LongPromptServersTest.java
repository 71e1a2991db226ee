package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.gateway.GatewayServer;

/** Tests that long prompts, such as month-end summaries, and chats use different servers. */
final class LongPromptServersTest {
  @Property(tries = 6, seed = "21")
  void halfOfAllServersAreDedicated(@ForAll @IntRange(min = 2, max = 7) int inEachDomain) {
    List<GatewayServer> servers = Fleet.spot(inEachDomain);
    LongPromptServers dedicated = new LongPromptServers(servers);
    assertThat(servers.stream().filter(dedicated::contains).count()).isEqualTo(servers.size() / 2);
  }

  @Example
  void onlyServerOfADomainIsNotDedicated() {
    List<GatewayServer> servers = Fleet.spot(1);
    LongPromptServers dedicated = new LongPromptServers(servers);
    assertThat(servers).noneMatch(dedicated::contains);
  }

  @Example
  void chatsAndMonthEndSummariesShareNoServerWhileCapacityIsFree() {
    FleetScheduler scheduler = new FleetScheduler(Fleet.DOMAINS.get(0), Fleet.notices());
    scheduler.updateServices(List.of(Fleet.spec()));
    scheduler.updateServers(Fleet.spot(2));
    IntStream.range(0, 10)
        .forEach(
            i -> {
              scheduler.offer(Fleet.longJob(2 * i, Fleet.prompt("summary" + i)));
              scheduler.offer(Fleet.job(2 * i + 1, 0, Fleet.prompt("chat" + i)));
            });
    List<Binding> bound = scheduler.bind(0);
    Set<BackendServerId> ofSummaries = serversOf(bound, true);
    assertThat(bound).hasSize(20);
    assertThat(ofSummaries).isNotEmpty().doesNotContainAnyElementsOf(serversOf(bound, false));
  }

  private static Set<BackendServerId> serversOf(List<Binding> bound, boolean longPrompts) {
    return bound.stream()
        .filter(binding -> binding.job().longPrompts() == longPrompts)
        .map(binding -> binding.server().id())
        .collect(Collectors.toSet());
  }
}
