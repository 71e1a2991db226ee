package org.endivemux.daemon;

import java.time.Instant;
import java.util.Optional;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each event as one line of key=value pairs. Stateless and thread-safe. */
public final class KeyValueFormatter extends Formatter {
  @Override
  public String format(LogRecord event) {
    String logger = Optional.ofNullable(event.getLoggerName()).orElse("");
    String source = logger.substring(logger.lastIndexOf('.') + 1);
    String message = formatMessage(event).replace('\n', ' ');
    String text = message.startsWith("event=") ? message : "event=log message=\"" + message + "\"";
    String cause =
        Optional.ofNullable(event.getThrown())
            .map(thrown -> " cause=\"" + thrown.toString().replace('\n', ' ') + "\"")
            .orElse("");
    Instant at = event.getInstant();
    return "at="
        + at
        + " level="
        + event.getLevel()
        + " source="
        + source
        + " "
        + text
        + cause
        + System.lineSeparator();
  }
}
