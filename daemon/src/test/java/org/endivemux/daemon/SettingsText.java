package org.endivemux.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads settings of a gateway from text. Stateless. */
final class SettingsText {
  private static final String REQUIRED =
      """
      vm: a
      failureDomain: d
      host: 127.0.0.1
      peerPort: 9000
      contacts: ["127.0.0.1:9000"]
      usageWindowSeconds: 2
      """;

  private SettingsText() {}

  /** Returns settings with these lines besides the required ones. */
  static GatewaySettings read(String lines) throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    try {
      Files.writeString(file, REQUIRED + lines + "\n");
      return GatewaySettings.read(file);
    } finally {
      Files.delete(file);
    }
  }
}
