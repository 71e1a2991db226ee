package org.endivemux.control.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.endivemux.control.client.ControlClient.VoterClient;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.model.VmId;
import org.endivemux.wire.WireException;
import reactor.core.publisher.Mono;

/** Tests how a client finds the leader after voters were replaced. */
final class ControlClientTest {
  private static final Duration LIMIT = Duration.ofSeconds(2);
  private static final VmId OWN = new VmId("own:1");
  private static final VmId LOST = new VmId("a:1");
  private static final VmId LEADER = new VmId("leader:1");
  private static final VmId OTHER = new VmId("other:1");
  private static final ControlReply REPLY = new ControlReply.GatewayConfigFound(Optional.empty());

  // Guards against a voter that finds no leader once all contacts of its settings were replaced.
  @Example
  void voterWhoseContactsAreAllGoneFindsTheLeaderThroughItself() {
    assertThat(ask(List.of(LOST), LEADER)).contains(REPLY);
  }

  // Guards against a voter that only asks the leader it knew, although that one was replaced.
  @Example
  void voterThatNamesALostLeaderAsksTheOthers() {
    assertThat(ask(List.of(LOST, OTHER), LOST)).contains(REPLY);
  }

  private static Optional<ControlReply> ask(List<VmId> contacts, VmId leaderAsKnownToOwnVoter) {
    ControlClient client =
        new ControlClient(vm -> voter(vm, leaderAsKnownToOwnVoter), contacts, Optional.of(OWN));
    return client.ask(new ControlRequest.ReadGatewayConfig(), LIMIT).blockOptional();
  }

  private static VoterClient voter(VmId vm, VmId leaderAsKnownToOwnVoter) {
    if (vm.equals(OWN)) {
      return (request, limit) -> Mono.just(notLeader(leaderAsKnownToOwnVoter));
    }
    if (vm.equals(OTHER)) {
      return (request, limit) -> Mono.just(notLeader(LEADER));
    }
    return vm.equals(LEADER)
        ? (request, limit) -> Mono.just(REPLY)
        : (request, limit) -> Mono.error(new WireException("The link is down."));
  }

  private static ControlReply notLeader(VmId leader) {
    return new ControlReply.NotLeader(Optional.of(leader), List.of());
  }
}
