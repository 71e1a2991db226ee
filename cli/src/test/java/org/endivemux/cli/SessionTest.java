package org.endivemux.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.endivemux.wire.http.EarlyServer;
import org.endivemux.wire.http.EarlyServer.End;

/** Tests which responses of a VM the command line takes for whole. */
final class SessionTest {
  /** A body of more than the sockets between both ends can hold. */
  private static final Map<String, String> LONG_BODY = Map.of("text", "x".repeat(16 << 20));

  private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n{\"part\":1}";

  /** Guards against a plan that looks stored by a VM that failed while it read the plan. */
  @Example
  void responseThatIsResetDuringTheRequestIsAnError() throws IOException {
    try (EarlyServer server = new EarlyServer(WITHOUT_LENGTH, End.RESET, 200)) {
      assertThatThrownBy(() -> session(server).post("/v1/plans", LONG_BODY))
          .isInstanceOf(CliException.class);
    }
  }

  /** Guards against a part of a response that ends where a malformed field says. */
  @Example
  void responseWithAMalformedFieldIsAnError() throws IOException {
    String part = "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}{}";
    try (EarlyServer server = new EarlyServer(part, End.NONE, 0)) {
      assertThatThrownBy(() -> session(server).get("/v1/plans/p")).isInstanceOf(CliException.class);
    }
  }

  @Example
  void wholeResponsesAreRead() throws IOException {
    try (EarlyServer server = new EarlyServer(WITHOUT_LENGTH, End.AFTER_REQUEST, 0)) {
      Session session = session(server);
      assertThat(session.post("/v1/plans", LONG_BODY).path("part").asInt()).isEqualTo(1);
      assertThat(session.get("/v1/plans/p").path("part").asInt()).isEqualTo(1);
    }
  }

  private static Session session(EarlyServer server) {
    return new Session(List.of(server.address()), Optional.empty());
  }
}
