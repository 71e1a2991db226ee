package org.endivemux.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tells from log lines what became of one request, and why.
 *
 * <p>Immutable and thread-safe. It concludes only from lines that are there: where logs are
 * missing, it says so.
 */
final class RequestStory {
  private static final String SENT = "sent";
  private static final String TRY_FAILED = "try_failed";
  private static final String REFUSED = "refused";
  private static final String ANSWERED = "answered";
  private static final String CALLER_LEFT = "caller_left";
  private static final String LEFT_OUT = "log_left_out";

  private final String id;
  private final List<LogLine> own;
  private final List<LogLine> all;

  /**
   * @param id the id that the caller sent with the request
   * @param all the events of all logs at hand, in the order of each log
   */
  RequestStory(String id, List<LogLine> all) {
    this.id = id;
    this.all = List.copyOf(all);
    this.own = all.stream().filter(line -> line.field("request").equals(id)).toList();
  }

  /** Returns the request's lines, its cause in a sentence, and what else speaks for the cause. */
  JsonNode tell() {
    ObjectNode story = JsonNodeFactory.instance.objectNode();
    story.put("request", id);
    story.put("outcome", outcome());
    story.put("cause", cause());
    own.forEach(line -> story.withArray("steps").add(step(line)));
    evidence().forEach(sentence -> story.withArray("evidence").add(sentence));
    return story;
  }

  private static String step(LogLine line) {
    StringBuilder text = new StringBuilder(line.process()).append(": ").append(line.event());
    line.fields().entrySet().stream()
        .filter(field -> !List.of("event", "request", "level", "source").contains(field.getKey()))
        .forEach(
            field -> text.append(' ').append(field.getKey()).append('=').append(field.getValue()));
    return text.toString();
  }

  private Optional<LogLine> last(String event) {
    return own.stream().filter(line -> line.is(event)).reduce((earlier, later) -> later);
  }

  private String outcome() {
    if (last(REFUSED).isPresent()) {
      LogLine refusal = last(REFUSED).get();
      return "refused with " + refusal.field("status") + ": " + refusal.field("ran");
    }
    if (last(ANSWERED).isPresent()) {
      return "answered after " + last(ANSWERED).get().field("tookMillis") + " ms";
    }
    return last(CALLER_LEFT)
        .map(line -> "the caller left after " + line.field("afterMillis") + " ms")
        .orElse(own.isEmpty() ? "unknown" : "not finished in these logs");
  }

  private String cause() {
    if (own.isEmpty()) {
      return isAnyLeftOut()
          ? "No line names this request; lines were left out under load, so it may have been here."
          : "No line names this request; it reached none of the processes whose logs were given.";
    }
    return last(REFUSED)
        .map(this::causeOfRefusal)
        .or(() -> last(CALLER_LEFT).map(line -> causeOfLeaving()))
        .orElseGet(this::causeOfTime);
  }

  private String causeOfRefusal(LogLine refusal) {
    Optional<LogLine> failure = last(TRY_FAILED);
    if (failure.isPresent()) {
      return "Try "
          + failure.get().field("try")
          + " at "
          + serverOf(failure.get())
          + " failed ("
          + failure.get().field("cause")
          + "), and "
          + (failure.get().field("mayHaveRun").equals("true")
              ? "it may have run, so it was not sent again."
              : "no other server took it.");
    }
    return switch (refusal.field("reason")) {
      case "TOO_LATE" -> "No server had room in the time that the request could wait.";
      case "NO_CONFIG" -> "The entry had not yet received any configuration.";
      case "UNKNOWN_ROUTE" -> "No route of the version in force matches the host and the path.";
      case "NO_KEY", "WRONG_KEY" -> "The key belongs to no organisation of the version in force.";
      case "DRAINING" -> "The entry was stopping.";
      default -> "The entry refused it before any try; see docs/reasons for the reason.";
    };
  }

  private String causeOfLeaving() {
    return last(SENT)
        .map(sent -> "The caller closed while the request ran at " + sent.field("backend") + ".")
        .orElse("The caller closed before a server was found.");
  }

  private String causeOfTime() {
    Optional<LogLine> first = own.stream().filter(line -> line.is(SENT)).findFirst();
    Optional<LogLine> latest = last(SENT);
    if (first.isEmpty() || latest.isEmpty()) {
      return "It was not sent to any server.";
    }
    long tries = own.stream().filter(line -> line.is(SENT)).count();
    String waited = "It waited " + latest.get().field("waitedMillis") + " ms in the entry";
    return tries > 1
        ? waited + " over " + tries + " tries; the first was at " + serverOf(first.get()) + "."
        : waited + "; the rest of its time was spent at " + serverOf(latest.get()) + ".";
  }

  /** Returns what names one try of one request. */
  private static String tryOf(LogLine line) {
    return line.field("request") + " " + line.field("try");
  }

  /** Returns the server of the try that a line is about. */
  private String serverOf(LogLine line) {
    return own.stream()
        .filter(sent -> sent.is(SENT) && sent.field("try").equals(line.field("try")))
        .map(sent -> sent.field("backend"))
        .findFirst()
        .orElse("an unnamed server");
  }

  private boolean isAnyLeftOut() {
    return all.stream().anyMatch(line -> line.is(LEFT_OUT));
  }

  private List<String> evidence() {
    List<String> found = new ArrayList<>();
    last(TRY_FAILED).map(this::serverOf).ifPresent(server -> addFailuresOf(server, found));
    long rejected =
        all.stream()
            .filter(
                line -> line.is("capacity_ordered") && !line.field("verdict").equals("ACCEPTED"))
            .count();
    if (last(REFUSED).isPresent() && last(TRY_FAILED).isEmpty() && rejected > 0) {
      found.add(rejected + " orders of capacity were not accepted in these logs.");
    }
    if (isAnyLeftOut()) {
      found.add("Some lines were left out under load; the steps may be incomplete.");
    }
    return found;
  }

  private void addFailuresOf(String server, List<String> found) {
    List<LogLine> sent =
        all.stream()
            .filter(line -> line.is(SENT) && line.field("backend").equals(server))
            .filter(line -> !line.field("request").equals(id))
            .toList();
    Set<String> failures =
        all.stream()
            .filter(line -> line.is(TRY_FAILED))
            .map(RequestStory::tryOf)
            .collect(Collectors.toSet());
    long failed = sent.stream().map(RequestStory::tryOf).filter(failures::contains).count();
    found.add(
        failed + " of " + sent.size() + " tries of other requests at " + server + " failed too.");
  }
}
