package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import net.jqwik.api.Example;

/** Tests the exit status and the output of the check of a configuration. */
final class ConfigCheckCommandTest {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ConfigCheckCommand command =
      new ConfigCheckCommand(new PrintStream(output, true, StandardCharsets.UTF_8));

  private static Path file(String text) throws IOException {
    Path file = Files.createTempFile("config", ".json");
    file.toFile().deleteOnExit();
    return Files.writeString(file, text.replace('\'', '"'));
  }

  private String text() {
    return output.toString(StandardCharsets.UTF_8);
  }

  /** Guards against scripts that send a configuration which will be refused. */
  @Example
  void statusTellsWhetherTheDocumentWouldBeAccepted() throws IOException {
    Path valid = file("{'version':2,'services':[{'name':'s'}]}");
    assertThat(command.run(valid, Optional.empty())).isEqualTo(ConfigCheckCommand.VALID);
    assertThat(text()).contains("warning: Service s is named by no route.", "is valid");
    assertThat(command.run(valid, Optional.of(valid))).isEqualTo(ConfigCheckCommand.INVALID);
    assertThat(text()).contains("error: The version 2 is not above 2");
    Path missing = valid.resolveSibling("missing.json");
    assertThat(command.run(missing, Optional.empty())).isEqualTo(ConfigCheckCommand.UNREADABLE);
  }
}
