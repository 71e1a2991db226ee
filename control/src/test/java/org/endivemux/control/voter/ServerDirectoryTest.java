package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;

/** Checks that servers which told an entry that they leave are handed on as leaving. */
final class ServerDirectoryTest {
  private static final long TERM = 3;
  private static final BackendServerId LEAVING = new BackendServerId("s1");

  private final ServerDirectory directory = new ServerDirectory();

  private static List<GatewayServer> listed() {
    return IntStream.range(0, 3)
        .mapToObj(
            i ->
                new GatewayServer(
                    new BackendServerId("s" + i),
                    new ServiceName("service"),
                    "10.0.0." + i,
                    new FailureDomain("a"),
                    4,
                    false,
                    ServerKind.STEADY))
        .toList();
  }

  private List<BackendServerId> leaving() {
    return directory.servers().stream()
        .filter(GatewayServer::leaving)
        .map(GatewayServer::id)
        .toList();
  }

  /**
   * Guards against a late list that brings a leaving server back, and against a late replacement.
   */
  @Example
  void reportedServerIsLeavingInThisListAndInLaterOnes() {
    directory.replace(TERM, listed());
    assertThat(directory.reportLeaving(TERM, List.of(LEAVING))).isTrue();
    assertThat(leaving()).containsExactly(LEAVING);
    assertThat(directory.reportLeaving(TERM, List.of(LEAVING))).isFalse();
    assertThat(directory.replace(TERM, listed())).isFalse();
    assertThat(leaving()).containsExactly(LEAVING);
  }

  /** Guards against a server that starts under an earlier id being taken for the one that left. */
  @Example
  void reportEndsWhenTheServerIsNoLongerListed() {
    directory.replace(TERM, listed());
    directory.reportLeaving(TERM, List.of(LEAVING));
    directory.replace(TERM, listed().subList(2, 3));
    directory.replace(TERM, listed());
    assertThat(leaving()).isEmpty();
  }
}
