package org.endivemux.daemon;

import java.time.Instant;
import java.util.Optional;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Writes one line of key=value pairs for each event. Stateless and thread-safe. */
public final class KeyValueFormatter extends Formatter {
  @Override
  public String format(LogRecord entry) {
    String logger = Optional.ofNullable(entry.getLoggerName()).orElse("");
    String source = logger.substring(logger.lastIndexOf('.') + 1);
    String message = formatMessage(entry).replace('\n', ' ');
    String text = message.startsWith("event=") ? message : "event=log message=\"" + message + "\"";
    String cause =
        Optional.ofNullable(entry.getThrown())
            .map(thrown -> " cause=\"" + thrown.toString().replace('\n', ' ') + "\"")
            .orElse("");
    Instant at = entry.getInstant();
    return "at="
        + at
        + " level="
        + entry.getLevel()
        + " source="
        + source
        + " "
        + text
        + cause
        + System.lineSeparator();
  }
}
