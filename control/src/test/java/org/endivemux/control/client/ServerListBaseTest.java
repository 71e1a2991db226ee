package org.endivemux.control.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.endivemux.control.message.ControlReply.GatewayPollReply;
import org.endivemux.control.message.ControlRequest.GatewayPoll;
import org.endivemux.control.voter.Clocks;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServerListUpdate;
import org.endivemux.model.gateway.ServiceName;

/** Checks to which list of backend servers an entry applies what a leader replies. */
final class ServerListBaseTest {
  private static final long NUMBER = 7;
  private static final GatewayServer READY = server("s1", "10.0.0.1:1");
  private static final GatewayServer LEAVING = READY.asLeaving();
  private static final GatewayServer OTHER = server("s2", "10.0.0.2:1");

  private final GatewaySyncState state =
      new GatewaySyncState(
          new Clocks(() -> 0, () -> 0), 5000, List::of, List::of, List::of, CrashNews::none);

  private static GatewayServer server(String id, String address) {
    return new GatewayServer(
        new BackendServerId(id),
        new ServiceName("llm"),
        address,
        new FailureDomain("d"),
        4,
        false,
        ServerKind.STEADY);
  }

  private static GatewayPollReply reply(long number, Optional<ServerListUpdate> update) {
    return new GatewayPollReply(number, update, 0, List.of(), Optional.empty(), Optional.empty());
  }

  /** Makes the entry know the leader's list, in which one server leaves. */
  private void learnLeavingServer() {
    state.applyReply(
        state.poll(), reply(NUMBER, Optional.of(ServerListUpdate.whole(List.of(LEAVING)))));
  }

  /** Guards against a leaving server that stays usable, as an older list was read meanwhile. */
  @Example
  void differenceFromAnotherListIsNotTakenForTheLeadersList() {
    learnLeavingServer();
    GatewayPoll poll = state.poll();
    state.replaceServers(List.of(READY));
    ServerListUpdate addition = ServerListUpdate.between(List.of(LEAVING), List.of(LEAVING, OTHER));

    state.applyReply(poll, reply(NUMBER + 1, Optional.of(addition)));

    assertThat(state.poll().serversNumber()).isNotEqualTo(NUMBER + 1);
  }

  /** Guards against the same where the leader has nothing new for the list that was polled with. */
  @Example
  void unchangedListIsNotTakenForOneThatWasReadMeanwhile() {
    learnLeavingServer();
    GatewayPoll poll = state.poll();
    state.replaceServers(List.of(READY));

    state.applyReply(poll, reply(NUMBER, Optional.empty()));

    assertThat(state.poll().serversNumber()).isNotEqualTo(NUMBER);
  }

  /** Guards against an entry that keeps a list of its own although the leader sent a whole one. */
  @Example
  void wholeListReplacesOneThatWasReadMeanwhile() {
    learnLeavingServer();
    GatewayPoll poll = state.poll();
    state.replaceServers(List.of(READY));

    state.applyReply(
        poll, reply(NUMBER + 1, Optional.of(ServerListUpdate.whole(List.of(LEAVING, OTHER)))));

    assertThat(state.servers()).containsExactly(LEAVING, OTHER);
    assertThat(state.poll().serversNumber()).isEqualTo(NUMBER + 1);
  }
}
