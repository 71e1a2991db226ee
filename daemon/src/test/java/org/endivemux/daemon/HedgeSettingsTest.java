package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Tests when settings turn hedging on. */
final class HedgeSettingsTest {
  private static final String OTHERS =
      """
      vm: a
      failureDomain: d
      host: 127.0.0.1
      peerPort: 9000
      contacts: ["127.0.0.1:9000"]
      usageWindowSeconds: 2
      """;

  /** Guards against hedges that the operator has not asked for. */
  @Example
  void hedgingIsOffUnlessAShareIsSet() throws IOException {
    assertThat(read("").hedgePolicy()).isEmpty();
    assertThat(read("hedgeShare: 0").hedgePolicy()).isEmpty();
    assertThat(read("hedgeQuantile: 0.9").hedgePolicy()).isEmpty();
    assertThat(read("hedgeShare: 0.05").hedgePolicy()).isPresent();
  }

  /** Guards against a start with a limit that means something else than the operator thinks. */
  @Example
  void valuesOutOfRangeAreRefused() {
    for (String line :
        new String[] {"hedgeShare: 5", "hedgeShare: -1", "hedgeShare: 0.1\nhedgeQuantile: 95"}) {
      assertThatThrownBy(() -> read(line))
          .isInstanceOf(SettingsException.class)
          .hasMessageContaining("hedgeShare");
    }
  }

  private static GatewaySettings read(String lines) throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    try {
      Files.writeString(file, OTHERS + lines + "\n");
      return GatewaySettings.read(file);
    } finally {
      Files.delete(file);
    }
  }
}
