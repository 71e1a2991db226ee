package org.endivemux.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * Tests the causes derived from an entry's log lines for an interrupted stream, a refusal, a slow
 * response and an unknown request.
 */
final class RequestExplanationTest {
  private static final List<String> LOG =
      List.of(
          "at=2026-12-04T07:00:01Z event=sent request=cut route=r try=1 backend=s1 waitedMillis=0",
          "at=2026-12-04T07:00:01Z event=sent request=also route=r try=1 backend=s1 waitedMillis=0",
          "event=response_fault reason=CONNECTION_BROKEN server=10.0.0.1:80 request=cut",
          "event=try_failed request=cut try=1 mayHaveRun=true retry=no cause=\"closed DURING it\"",
          "event=refused request=cut reason=ANSWER_BROKEN status=502 ran=\"outcome unknown\"",
          "event=try_failed request=also try=1 mayHaveRun=true retry=no cause=\"closed DURING it\"",
          "event=refused request=full reason=TOO_LATE status=503 ran=\"not run\"",
          "event=capacity_ordered service=s domain=a kind=CHEAP count=3 verdict=REJECTED",
          "a line of another program",
          "event=sent request=late route=r try=1 backend=s2 waitedMillis=310 version=3",
          "event=answered request=late route=r tookMillis=1900");

  private static JsonNode explanation(String request) {
    List<LogLine> lines =
        Stream.of(LOG)
            .flatMap(List::stream)
            .map(line -> LogLine.parse("entry-1", line))
            .flatMap(Optional::stream)
            .toList();
    return new RequestExplanation(request, lines).toJson();
  }

  @Example
  void interruptedStreamIsAttributedToItsServer() {
    JsonNode explanation = explanation("cut");
    assertThat(explanation.path("outcome").asText()).isEqualTo("refused with 502: outcome unknown");
    assertThat(explanation.path("cause").asText())
        .contains("at s1 failed", "refused as CONNECTION_BROKEN", "it was not sent again");
    assertThat(explanation.path("evidence").get(0).asText()).startsWith("1 of 1 attempts");
  }

  @Example
  void refusalWithoutAnAttemptIsAttributedToMissingCapacity() {
    JsonNode explanation = explanation("full");
    assertThat(explanation.path("cause").asText()).startsWith("No server had room");
    assertThat(explanation.path("evidence").get(0).asText()).startsWith("1 orders of capacity");
  }

  @Example
  void slowResponseShowsWhereTheTimeWasSpent() {
    JsonNode explanation = explanation("late");
    assertThat(explanation.path("outcome").asText()).isEqualTo("answered after 1900 ms");
    assertThat(explanation.path("cause").asText()).contains("waited 310 ms", "spent at s2");
  }

  @Example
  void unknownRequestIsReportedAsUnknown() {
    assertThat(explanation("other").path("cause").asText())
        .startsWith("No line names this request");
  }
}
