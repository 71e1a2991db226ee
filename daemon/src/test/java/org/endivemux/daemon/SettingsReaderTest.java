package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Shows which settings are taken and what is said of the others. */
final class SettingsReaderTest {
  private static final String SOUND =
      """
      vm: vm1
      failureDomain: d1
      httpAddress: 127.0.0.1:8081
      peerAddress: 127.0.0.1:7081
      dataFolder: data
      voters: {vm1: "127.0.0.1:7081"}
      """;

  @Example
  void takesSoundSettings() {
    assertThat(read(SOUND).vm().value()).isEqualTo("vm1");
  }

  @Example
  void namesFileKeyAndRemedy() {
    refused(SOUND + "colour: red\n", "colour: this key is unknown; correct or remove it.");
    refused(SOUND.replace("vm: vm1\n", ""), "vm: this key is missing; add it.");
    refused(SOUND + "entriesLifetimeSeconds: 10 s\n", "write a whole number in the unit");
    refused(SOUND + "usageWindowSeconds: 0\n", "usageWindowSeconds: it must be");
    refused(SOUND.replace("127.0.0.1:8081", "localhost:8081"), "httpAddress: write an IP number");
    refused(SOUND.replace("dataFolder: data\n", ""), "dataFolder: this VM is a voter");
    refused(SOUND + "policy: best\n", "policy: The policy best is unknown");
    refused(SOUND + "operatorKeyDigest: secret\n", "operatorKeyDigest: write the SHA-256");
    refused("", "it holds no settings");
    refused("a: [", "this is not YAML");
  }

  @Property(tries = 300, seed = "9")
  void anyTextIsTakenOrRefusedInOneSentence(@ForAll String text) {
    try {
      read(text);
    } catch (SettingsException e) {
      assertThat(e.getMessage()).contains(".yaml: ").doesNotContain("\n");
    }
  }

  private static void refused(String settings, String message) {
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
