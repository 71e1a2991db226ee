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
import org.endivemux.routing.fleet.FleetScheduler.Binding;

/** Shows that chats keep their pauses while month-end summaries with long prompts come in. */
final class LongPromptServersTest {
  @Property(tries = 6, seed = "21")
  void halfOfAllServersAreSetApart(@ForAll @IntRange(min = 2, max = 7) int inEachDomain) {
    List<GatewayServer> servers = Fleet.cheap(inEachDomain);
    LongPromptServers apart = new LongPromptServers(servers);
    assertThat(servers.stream().filter(apart::contains).count()).isEqualTo(servers.size() / 2);
  }

  @Example
  void onlyServerOfADomainIsNotSetApart() {
    List<GatewayServer> servers = Fleet.cheap(1);
    LongPromptServers apart = new LongPromptServers(servers);
    assertThat(servers).noneMatch(apart::contains);
  }

  @Example
  void chatsAndMonthEndSummariesShareNoServerWhileThereIsRoom() {
    FleetScheduler scheduler = new FleetScheduler(Fleet.DOMAINS.get(0));
    scheduler.updateServices(List.of(Fleet.spec()));
    scheduler.updateServers(Fleet.cheap(2));
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
