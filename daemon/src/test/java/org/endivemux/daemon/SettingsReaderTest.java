package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests which settings are accepted, and the error messages for the others. */
final class SettingsReaderTest {
  private static final String VALID =
      """
      vm: vm1
      failureDomain: d1
      httpAddress: 127.0.0.1:8081
      peerAddress: 127.0.0.1:7081
      dataFolder: data
      voters: {vm1: "127.0.0.1:7081"}
      """;

  @Example
  void acceptsValidSettings() {
    assertThat(read(VALID).vm().value()).isEqualTo("vm1");
  }

  @Example
  void errorNamesFileKeyAndRemedy() {
    assertRejected(VALID + "colour: red\n", "colour: this key is unknown; correct or remove it.");
    assertRejected(VALID.replace("vm: vm1\n", ""), "vm: this key is missing; add it.");
    assertRejected(VALID + "entriesLifetimeSeconds: 10 s\n", "write a whole number in the unit");
    assertRejected(VALID + "usageWindowSeconds: 0\n", "usageWindowSeconds: it must be");
    assertRejected(
        VALID.replace("127.0.0.1:8081", "localhost:8081"), "httpAddress: write an IP number");
    assertRejected(VALID.replace("dataFolder: data\n", ""), "dataFolder: this VM is a voter");
    assertRejected(VALID + "policy: best\n", "policy: The policy best is unknown");
    assertRejected(VALID + "operatorKeyDigest: secret\n", "operatorKeyDigest: write the SHA-256");
    assertRejected("", "it holds no settings");
    assertRejected("a: [", "this is not YAML");
  }

  @Property(tries = 300, seed = "9")
  void anyTextIsAcceptedOrRejectedWithOneLine(@ForAll String text) {
    try {
      read(text);
    } catch (SettingsException e) {
      assertThat(e.getMessage()).contains(".yaml: ").doesNotContain("\n");
    }
  }

  private static void assertRejected(String settings, String message) {
    assertThatThrownBy(() -> read(settings))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining(message);
  }

  private static Settings read(String text) {
    try {
      Path file = Files.createTempFile("settings", ".yaml");
      Files.writeString(file, text);
      return SettingsReader.read(file);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
