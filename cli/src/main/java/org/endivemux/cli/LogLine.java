package org.endivemux.cli;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a process's log, parsed into key=value pairs.
 *
 * <p>Immutable and thread-safe. Text before the first pair, such as a timestamp added by a log
 * collector, is ignored.
 *
 * @param process name of the log file that contains the line
 */
record LogLine(String process, Map<String, String> fields) {
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(?:\"([^\"]*)\"|(\\S*))");

  LogLine {
    fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
  }

  /** Parses a line; returns empty if it has no {@code event} field. */
  static Optional<LogLine> parse(String process, String line) {
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher pairs = PAIR.matcher(line);
    while (pairs.find()) {
      fields.putIfAbsent(pairs.group(1), pairs.group(2) == null ? pairs.group(3) : pairs.group(2));
    }
    return Optional.of(new LogLine(process, fields)).filter(read -> fields.containsKey("event"));
  }

  String event() {
    return fields.get("event");
  }

  /** Returns a field's value, or an empty string. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  boolean is(String event) {
    return event().equals(event);
  }
}
