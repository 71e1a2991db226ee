package org.endivemux.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Reads events from log files and from folders of log files. Stateless and thread-safe. */
final class LogFiles {
  private LogFiles() {}

  /**
   * Returns the events of all files, in order; throws {@link CliException} if one is unreadable.
   */
  static List<LogLine> read(List<String> paths) {
    return paths.stream().map(Path::of).flatMap(LogFiles::files).flatMap(LogFiles::events).toList();
  }

  private static Stream<Path> files(Path path) {
    if (!Files.isDirectory(path)) {
      return Stream.of(path);
    }
    try (Stream<Path> inside = Files.list(path)) {
      return inside.filter(Files::isRegularFile).sorted().toList().stream();
    } catch (IOException e) {
      throw unreadable(path);
    }
  }

  private static Stream<LogLine> events(Path file) {
    String process = file.getFileName().toString();
    try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
      return lines
          .map(line -> LogLine.parse(process, line))
          .flatMap(Optional::stream)
          .toList()
          .stream();
    } catch (IOException | UncheckedIOException e) {
      throw unreadable(file);
    }
  }

  private static CliException unreadable(Path path) {
    return new CliException(
        ExitStatus.USAGE, "The log " + path + " cannot be read; check the path.");
  }
}
