package org.endivemux.daemon;

import java.nio.file.Path;

/** Thrown for invalid settings; the message names the file, the key and the remedy. Immutable. */
public final class SettingsException extends RuntimeException {
  SettingsException(Path file, String key, String remedy) {
    super(file + ": " + key + ": " + remedy);
  }
}
