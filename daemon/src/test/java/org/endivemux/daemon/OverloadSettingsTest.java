package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Tests when settings turn overload protection on. */
final class OverloadSettingsTest {
  private static final String OTHERS =
      """
      vm: a
      failureDomain: d
      host: 127.0.0.1
      peerPort: 9000
      contacts: ["127.0.0.1:9000"]
      usageWindowSeconds: 2
      """;

  /** Guards against a change for deployments whose settings do not ask for it. */
  @Example
  void protectionIsOnWhereAContractOrTheSettingAsksForIt() throws IOException {
    assertThat(isProtected("")).isFalse();
    assertThat(isProtected("contracts: [\"base\", \"drain\"]")).isFalse();
    assertThat(isProtected("contracts: [\"base\", \"pressure\"]")).isTrue();
    assertThat(isProtected("contracts: [\"pressure\"]\noverloadProtection: false")).isFalse();
    assertThat(isProtected("overloadProtection: true")).isTrue();
  }

  private static boolean isProtected(String lines) throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    try {
      Files.writeString(file, OTHERS + lines + "\n");
      return GatewaySettings.read(file).isOverloadProtected();
    } finally {
      Files.delete(file);
    }
  }
}
