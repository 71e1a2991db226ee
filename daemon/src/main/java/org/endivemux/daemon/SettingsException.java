package org.endivemux.daemon;

import java.nio.file.Path;

/** Signals settings that can not be used; the message names file, key and remedy. Immutable. */
public final class SettingsException extends RuntimeException {
  SettingsException(Path file, String key, String remedy) {
    super(file + ": " + key + ": " + remedy);
  }
}
