package org.endivemux.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.endivemux.daemon.DaemonMain;

/** A real daemon process on this machine, controlled by signals. Used by one test. */
final class Vm {
  final String name;
  final int httpPort;
  final int peerPort;
  private final Path folder;
  private final String settingsOption;
  private Runnable onStart = () -> {};
  private Process process;
  private boolean shouldBeRunning;
  private boolean isLost;

  Vm(String name, int httpPort, int peerPort, Path folder) {
    this(name, httpPort, peerPort, folder, "--settings");
  }

  /** Creates a VM whose daemon gets its settings file by the given command-line option. */
  Vm(String name, int httpPort, int peerPort, Path folder, String settingsOption) {
    this.name = name;
    this.httpPort = httpPort;
    this.peerPort = peerPort;
    this.folder = folder;
    this.settingsOption = settingsOption;
  }

  /** Sets what is run before each start of the process. */
  void onStart(Runnable action) {
    onStart = action;
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

  /** Returns whether the test has started the process and not ended it; it may have died since. */
  boolean shouldBeRunning() {
    return shouldBeRunning;
  }

  void start() {
    start(List.of(), ProcessBuilder.Redirect.appendTo(log().toFile()));
  }

  /** Simulates a full disk: files cannot grow beyond this size. Discards the log output. */
  void startWithFilesUpTo(long kilobytes) {
    start(
        List.of("bash", "-c", "ulimit -f " + kilobytes + "; exec \"$@\"", "limited"),
        ProcessBuilder.Redirect.DISCARD);
  }

  /**
   * Simulates a disk that fills up while the process runs: files cannot grow beyond this size until
   * {@link #liftFileLimit}.
   */
  void limitFilesTo(long bytes) {
    setFileLimit(bytes + ":");
  }

  void liftFileLimit() {
    setFileLimit("unlimited:");
  }

  /** Changes the soft limit of the running process. */
  private void setFileLimit(String limit) {
    run("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + limit);
  }

  private static void run(String... command) {
    try {
      int exit = new ProcessBuilder(command).inheritIO().start().waitFor();
      if (exit != 0) {
        throw new AssertionError(String.join(" ", command) + " ended with " + exit);
      }
    } catch (IOException e) {
      throw new AssertionError(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  private void start(List<String> launcher, ProcessBuilder.Redirect output) {
    if (isLost) {
      return;
    }
    shouldBeRunning = true;
    onStart.run();
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

  boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Kills the process immediately, as in a power failure. */
  void kill() {
    shouldBeRunning = false;
    if (isRunning()) {
      thaw();
      process.destroyForcibly();
      awaitExit();
    }
  }

  /** Kills the process for good; it is not started again. */
  void lose() {
    kill();
    isLost = true;
  }

  void terminate() {
    shouldBeRunning = false;
    process.destroy();
  }

  void freeze() {
    signal("-STOP");
  }

  void thaw() {
    signal("-CONT");
  }

  /** Sends SIGHUP. */
  void hangUp() {
    signal("-HUP");
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

  int awaitExit() {
    try {
      if (!process.waitFor(60, TimeUnit.SECONDS)) {
        throw new AssertionError(name + " did not exit within 60 seconds.");
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

  /** Simulates a lost disk: kills the process and restarts it with an empty data folder. */
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
