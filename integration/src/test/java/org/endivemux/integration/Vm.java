package org.endivemux.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.endivemux.daemon.DaemonMain;

/** Is one real daemon process on this machine, reachable by signals. Used by one test. */
final class Vm {
  final String name;
  final int httpPort;
  final int peerPort;
  private final Path folder;
  private final String settingsOption;
  private Process process;
  private boolean wanted;

  Vm(String name, int httpPort, int peerPort, Path folder) {
    this(name, httpPort, peerPort, folder, "--settings");
  }

  /** Makes a VM whose daemon is told its settings file by an option. */
  Vm(String name, int httpPort, int peerPort, Path folder, String settingsOption) {
    this.name = name;
    this.httpPort = httpPort;
    this.peerPort = peerPort;
    this.folder = folder;
    this.settingsOption = settingsOption;
  }

  Path settings() {
    return folder.resolve(name + ".yaml");
  }

  Path dataFolder() {
    return folder.resolve(name);
  }

  Path log() {
    return folder.resolve(name + ".log");
  }

  String url(String path) {
    return "http://127.0.0.1:" + httpPort + path;
  }

  /** Returns whether the test started it and did not end it, whether or not it still runs. */
  boolean wanted() {
    return wanted;
  }

  void start() {
    start(List.of(), ProcessBuilder.Redirect.appendTo(log().toFile()));
  }

  /** Starts it so that no file of it can grow beyond a size, as on a full disk; logs are lost. */
  void startWithFilesUpTo(long kilobytes) {
    start(
        List.of("bash", "-c", "ulimit -f " + kilobytes + "; exec \"$@\"", "limited"),
        ProcessBuilder.Redirect.DISCARD);
  }

  private void start(List<String> launcher, ProcessBuilder.Redirect output) {
    wanted = true;
    Stream<String> java =
        Stream.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            System.getProperty("vm.option", "-XX:+PerfDisableSharedMem"),
            "-XX:+PerfDisableSharedMem",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx" + System.getProperty("vm.heap", "128m"),
            "-cp",
            System.getProperty("java.class.path"),
            DaemonMain.class.getName(),
            settingsOption,
            settings().toString());
    try {
      process =
          new ProcessBuilder(Stream.concat(launcher.stream(), java).toList())
              .redirectErrorStream(true)
              .redirectOutput(output)
              .start();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  long pid() {
    return process.pid();
  }

  boolean runs() {
    return process != null && process.isAlive();
  }

  /** Ends the process at once, as a power cut does. */
  void kill() {
    wanted = false;
    if (runs()) {
      thaw();
      process.destroyForcibly();
      waitForEnd();
    }
  }

  void terminate() {
    wanted = false;
    process.destroy();
  }

  void freeze() {
    signal("-STOP");
  }

  void thaw() {
    signal("-CONT");
  }

  private void signal(String name) {
    try {
      new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new AssertionError(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  int waitForEnd() {
    try {
      if (!process.waitFor(60, TimeUnit.SECONDS)) {
        throw new AssertionError(name + " did not end.");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  void restart() {
    kill();
    start();
  }

  /** Loses the disk: the process dies and comes back with an empty data folder. */
  void loseDisk() {
    kill();
    deleteData();
    start();
  }

  void deleteData() {
    try (Stream<Path> files = Files.walk(dataFolder())) {
      List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : deepestFirst) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  String logText() {
    try {
      return Files.readString(log());
    } catch (IOException e) {
      return "";
    }
  }
}
