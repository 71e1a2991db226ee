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
 * Explains from log lines what happened to one request, and why.
 *
 * <p>Immutable and thread-safe. Conclusions rest only on lines that are present; if lines are known
 * to be missing, the explanation says so.
 */
final class RequestExplanation {
  private static final String SENT = "sent";
  private static final String ATTEMPT_FAILED = "try_failed";
  private static final String RESPONSE_FAULT = "response_fault";
  private static final String VERSION_GONE = "stream_version_gone";
  private static final String REFUSED = "refused";
  private static final String ANSWERED = "answered";
  private static final String CALLER_LEFT = "caller_left";
  private static final String LINES_DROPPED = "log_left_out";

  private final String id;
  private final List<LogLine> requestLines;
  private final List<LogLine> allLines;

  /**
   * @param id the id that the caller sent with the request
   * @param allLines the events of all given logs, each log in its own order
   */
  RequestExplanation(String id, List<LogLine> allLines) {
    this.id = id;
    this.allLines = List.copyOf(allLines);
    this.requestLines = allLines.stream().filter(line -> line.field("request").equals(id)).toList();
  }

  /**
   * Returns the request's outcome, the cause in one sentence, its log lines as steps, and further
   * evidence for the cause.
   */
  JsonNode toJson() {
    ObjectNode explanation = JsonNodeFactory.instance.objectNode();
    explanation.put("request", id);
    explanation.put("outcome", outcome());
    explanation.put("cause", cause());
    requestLines.forEach(line -> explanation.withArray("steps").add(step(line)));
    evidence().forEach(sentence -> explanation.withArray("evidence").add(sentence));
    return explanation;
  }

  private static String step(LogLine line) {
    StringBuilder text = new StringBuilder(line.process()).append(": ").append(line.event());
    line.fields().entrySet().stream()
        .filter(field -> !List.of("event", "request", "level", "source").contains(field.getKey()))
        .forEach(
            field -> text.append(' ').append(field.getKey()).append('=').append(field.getValue()));
    return text.toString();
  }

  private Optional<LogLine> lastLine(String event) {
    return requestLines.stream().filter(line -> line.is(event)).reduce((earlier, later) -> later);
  }

  private String outcome() {
    if (lastLine(REFUSED).isPresent()) {
      LogLine refusal = lastLine(REFUSED).get();
      return "refused with " + refusal.field("status") + ": " + refusal.field("ran");
    }
    if (lastLine(ANSWERED).isPresent()) {
      return "answered after " + lastLine(ANSWERED).get().field("tookMillis") + " ms";
    }
    return lastLine(CALLER_LEFT)
        .map(line -> "the caller left after " + line.field("afterMillis") + " ms")
        .orElse(requestLines.isEmpty() ? "unknown" : "not finished in these logs");
  }

  private String cause() {
    if (requestLines.isEmpty()) {
      return hasDroppedLines()
          ? "No line names this request; log lines were dropped under load, so it may have been here."
          : "No line names this request; it reached none of the processes whose logs were given.";
    }
    return lastLine(REFUSED)
        .map(this::causeOfRefusal)
        .or(() -> lastLine(CALLER_LEFT).map(line -> causeOfDisconnect()))
        .orElseGet(this::causeOfDuration);
  }

  private String causeOfRefusal(LogLine refusal) {
    Optional<LogLine> versionGone = lastLine(VERSION_GONE);
    if (versionGone.isPresent()) {
      return "Its stream broke off, and no other server had the version "
          + versionGone.get().field("software")
          + " that began it.";
    }
    Optional<LogLine> failure = lastLine(ATTEMPT_FAILED);
    if (failure.isPresent()) {
      return "Attempt "
          + failure.get().field("try")
          + " at "
          + serverOf(failure.get())
          + " failed ("
          + failure.get().field("cause")
          + lastLine(RESPONSE_FAULT).map(RequestExplanation::fault).orElse("")
          + "), and "
          + (failure.get().field("mayHaveRun").equals("true")
              ? "it may have run, so it was not sent again."
              : "no other server accepted it.");
    }
    return switch (refusal.field("reason")) {
      case "TOO_LATE" ->
          "No server had room in the time that the request could wait; see server_paused and"
              + " server_leaving for servers that took none.";
      case "STREAM_VERSION_GONE" ->
          "It resumes a stream, and no server had the version that began it.";
      case "STREAM_VERSION_UNKNOWN" ->
          "It resumes a stream, and it was not known which version began it.";
      case "PROMPT_QUARANTINED" -> "Backend servers crashed on a part of its prompt.";
      case "NO_CONFIG" -> "The entry had not yet received any configuration.";
      case "UNKNOWN_ROUTE" -> "No route of the version in force matches the host and the path.";
      case "NO_KEY", "WRONG_KEY" -> "The key belongs to no organisation of the version in force.";
      case "STALE_STATE" ->
          "The entry had no proof of fresh state, so it could not tell whether the route or the key"
              + " is unknown.";
      case "ENTRY_FULL" -> "The bodies of other requests took the entry's memory.";
      case "DRAINING" -> "The entry was stopping.";
      default -> "The entry refused it before any attempt; see docs/reasons for the reason.";
    };
  }

  /** Returns what was wrong with a response, as an addition to the cause of a failed attempt. */
  private static String fault(LogLine line) {
    return "; the response of "
        + line.field("server")
        + " was refused as "
        + line.field("reason")
        + ", see docs/OPERATIONS.md";
  }

  private String causeOfDisconnect() {
    return lastLine(SENT)
        .map(
            sent ->
                "The caller closed the connection while the request ran at "
                    + sent.field("backend")
                    + ".")
        .orElse("The caller closed the connection before a server was found.");
  }

  private String causeOfDuration() {
    Optional<LogLine> first = requestLines.stream().filter(line -> line.is(SENT)).findFirst();
    Optional<LogLine> latest = lastLine(SENT);
    if (first.isEmpty() || latest.isEmpty()) {
      return "It was not sent to any server.";
    }
    long attempts = requestLines.stream().filter(line -> line.is(SENT)).count();
    String waited = "It waited " + latest.get().field("waitedMillis") + " ms in the entry";
    return attempts > 1
        ? waited
            + " over "
            + attempts
            + " attempts; the first was at "
            + serverOf(first.get())
            + "."
        : waited + "; the rest of its time was spent at " + serverOf(latest.get()) + ".";
  }

  /** Returns a key that identifies one attempt of one request. */
  private static String attemptKey(LogLine line) {
    return line.field("request") + " " + line.field("try");
  }

  /** Returns the server of the attempt that a line describes. */
  private String serverOf(LogLine line) {
    return requestLines.stream()
        .filter(sent -> sent.is(SENT) && sent.field("try").equals(line.field("try")))
        .map(sent -> sent.field("backend"))
        .findFirst()
        .orElse("an unnamed server");
  }

  private boolean hasDroppedLines() {
    return allLines.stream().anyMatch(line -> line.is(LINES_DROPPED));
  }

  private List<String> evidence() {
    List<String> found = new ArrayList<>();
    lastLine(ATTEMPT_FAILED).map(this::serverOf).ifPresent(server -> addFailureRate(server, found));
    long rejected =
        allLines.stream()
            .filter(
                line -> line.is("capacity_ordered") && !line.field("verdict").equals("ACCEPTED"))
            .count();
    if (lastLine(REFUSED).isPresent() && lastLine(ATTEMPT_FAILED).isEmpty() && rejected > 0) {
      found.add(rejected + " orders of capacity were not accepted in these logs.");
    }
    if (hasDroppedLines()) {
      found.add("Some log lines were dropped under load; the steps may be incomplete.");
    }
    return found;
  }

  private void addFailureRate(String server, List<String> found) {
    List<LogLine> sent =
        allLines.stream()
            .filter(line -> line.is(SENT) && line.field("backend").equals(server))
            .filter(line -> !line.field("request").equals(id))
            .toList();
    Set<String> failures =
        allLines.stream()
            .filter(line -> line.is(ATTEMPT_FAILED))
            .map(RequestExplanation::attemptKey)
            .collect(Collectors.toSet());
    long failed =
        sent.stream().map(RequestExplanation::attemptKey).filter(failures::contains).count();
    found.add(
        failed
            + " of "
            + sent.size()
            + " attempts of other requests at "
            + server
            + " failed too.");
  }
}
