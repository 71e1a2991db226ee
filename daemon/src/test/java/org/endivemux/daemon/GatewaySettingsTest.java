package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import net.jqwik.api.Example;
import org.endivemux.routing.fleet.WarmUpLimit.Bounds;

/** Tests the settings that a platform may leave out. */
final class GatewaySettingsTest {
  private static final String VALID =
      """
      vm: vm1
      failureDomain: d1
      host: 127.0.0.1
      peerPort: 70
      contacts: ["127.0.0.1:70"]
      usageWindowSeconds: 5
      """;

  /** Guards against a process that does not start because the platform declares no bounds. */
  @Example
  void boundsOfColdServersMayBeNullOrAbsent() throws IOException {
    assertThat(read("").coldBounds()).isEqualTo(new Bounds(1.5, 5));
    assertThat(read("coldOverage: null\ncoldSlack: null\n").coldBounds())
        .isEqualTo(new Bounds(1.5, 5));
    assertThat(read("coldOverage: 2\ncoldSlack: 0\n").coldBounds()).isEqualTo(new Bounds(2, 0));
  }

  // Guards against servers that leave being closed, or open too long, where a time is left out.
  @Example
  void timesOfServersThatLeaveMayBeNullOrAbsent() throws IOException {
    assertThat(read("").serverDrain()).isEqualTo(Duration.ofSeconds(3));
    assertThat(read("").serverListLag()).isEqualTo(Duration.ofMillis(800));
    GatewaySettings none = read("serverDrainMillis: null\nserverListLagMillis: null\n");
    assertThat(none.serverDrain()).isEqualTo(Duration.ofSeconds(3));
    assertThat(none.serverListLag()).isEqualTo(Duration.ofMillis(800));
  }

  // Guards against a drain that begins in the future.
  @Example
  void negativeTimesOfServersThatLeaveAreRefused() {
    assertThatThrownBy(() -> read("serverListLagMillis: -1\n"))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("serverListLagMillis");
    assertThatThrownBy(() -> read("serverDrainMillis: -1\n")).isInstanceOf(SettingsException.class);
  }

  private static GatewaySettings read(String more) throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    try {
      return GatewaySettings.read(Files.writeString(file, VALID + more));
    } finally {
      Files.delete(file);
    }
  }
}
