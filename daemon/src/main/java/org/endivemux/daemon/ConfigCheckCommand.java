package org.endivemux.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.endivemux.platform.ConfigReport;

/** Checks a configuration document on the command line. Not thread-safe. */
final class ConfigCheckCommand {
  static final int VALID = 0;
  static final int INVALID = 1;

  /** Also the status of other wrong uses of the daemon. */
  static final int UNREADABLE = 2;

  private final PrintStream out;

  ConfigCheckCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Prints a report and returns the exit status: 0 if the document would be accepted.
   *
   * @param inForce file with the version in force
   */
  int run(Path candidate, Optional<Path> inForce) {
    try {
      byte[] document = Files.readAllBytes(candidate);
      Optional<byte[]> current =
          inForce.isPresent() ? Optional.of(Files.readAllBytes(inForce.get())) : Optional.empty();
      ConfigReport report = ConfigReport.of(document, current);
      print("error: ", report.errors());
      print("warning: ", report.findings());
      print("", report.differences());
      out.println(
          report.errors().isEmpty() ? "The configuration is valid." : "It would be refused.");
      return report.errors().isEmpty() ? VALID : INVALID;
    } catch (IOException e) {
      out.println("error: the file cannot be read: " + e.getMessage());
      return UNREADABLE;
    }
  }

  private void print(String label, List<String> lines) {
    lines.forEach(line -> out.println(label + line));
  }
}
