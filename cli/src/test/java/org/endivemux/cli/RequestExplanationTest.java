package org.endivemux.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Shows which cause the log lines of an entry give for three kinds of failed request. */
final class RequestStoryTest {
  private static final List<String> LOG =
      List.of(
          "at=2026-12-04T07:00:01Z event=sent request=cut route=r try=1 backend=s1 waitedMillis=0",
          "at=2026-12-04T07:00:01Z event=sent request=also route=r try=1 backend=s1 waitedMillis=0",
          "event=try_failed request=cut try=1 mayHaveRun=true retry=no cause=\"closed DURING it\"",
          "event=refused request=cut reason=ANSWER_BROKEN status=502 ran=\"outcome unknown\"",
          "event=try_failed request=also try=1 mayHaveRun=true retry=no cause=\"closed DURING it\"",
          "event=refused request=full reason=TOO_LATE status=503 ran=\"not run\"",
          "event=capacity_ordered service=s domain=a kind=CHEAP count=3 verdict=REJECTED",
          "a line of another program",
          "event=sent request=late route=r try=1 backend=s2 waitedMillis=310 version=3",
          "event=answered request=late route=r tookMillis=1900");

  private static JsonNode story(String request) {
    List<LogLine> lines =
        Stream.of(LOG)
            .flatMap(List::stream)
            .map(line -> LogLine.parse("entry-1", line))
            .flatMap(Optional::stream)
            .toList();
    return new RequestStory(request, lines).tell();
  }

  @Example
  void cutStreamIsTracedToItsServer() {
    JsonNode story = story("cut");
    assertThat(story.path("outcome").asText()).isEqualTo("refused with 502: outcome unknown");
    assertThat(story.path("cause").asText()).contains("at s1 failed", "it was not sent again");
    assertThat(story.path("evidence").get(0).asText()).startsWith("1 of 1 tries");
  }

  @Example
  void refusalWithoutATryIsTracedToTheLackOfRoom() {
    JsonNode story = story("full");
    assertThat(story.path("cause").asText()).startsWith("No server had room");
    assertThat(story.path("evidence").get(0).asText()).startsWith("1 orders of capacity");
  }

  @Example
  void lateAnswerShowsWhereItsTimeWent() {
    JsonNode story = story("late");
    assertThat(story.path("outcome").asText()).isEqualTo("answered after 1900 ms");
    assertThat(story.path("cause").asText()).contains("waited 310 ms", "spent at s2");
  }

  @Example
  void unknownRequestIsSaidToBeUnknown() {
    assertThat(story("other").path("cause").asText()).startsWith("No line names this request");
  }
}
