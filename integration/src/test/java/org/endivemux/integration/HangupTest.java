package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.endivemux.daemon.DaemonMain;

/** Tests what SIGHUP does to a process, at its start and later. */
final class HangupTest {
  private static final int EXIT_OF_INVALID_SETTINGS = 2;
  private static final int EXIT_OF_HANGUP = 129;
  private static final int LIMIT_SECONDS = 60;

  /**
   * Guards against a process that a SIGHUP ends before it has read its settings. The settings come
   * from a pipe, so that the process is known to be at that point.
   */
  @Example
  void hangupBeforeTheSettingsAreReadDoesNotEndTheProcess() throws Exception {
    Path settings = Files.createTempDirectory("hangup").resolve("settings.yaml");
    run("mkfifo", settings.toString());
    Process daemon = start(settings);
    try {
      try (OutputStream pipe = Files.newOutputStream(settings)) {
        run("kill", "-HUP", Long.toString(daemon.pid()));
        pipe.write("invalid: true\n".getBytes(StandardCharsets.UTF_8));
      }
      assertThat(daemon.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(daemon.exitValue()).isEqualTo(EXIT_OF_INVALID_SETTINGS);
    } finally {
      daemon.destroyForcibly();
    }
  }

  /**
   * Guards against a process that ignores the hangup of its terminal: it has no settings to read.
   * Fails in a build that was started by {@code nohup}, since the JVM leaves a signal alone that is
   * ignored when it starts.
   */
  @Example
  void hangupEndsTheProductsOwnInterface() {
    try (Cluster cluster = Cluster.started(1, 0)) {
      Vm vm = cluster.vms.get(0);
      vm.hangUp();
      assertThat(vm.awaitExit()).isEqualTo(EXIT_OF_HANGUP);
    }
  }

  private static Process start(Path settings) throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            DaemonMain.class.getName(),
            "--gateway-settings",
            settings.toString())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  private static void run(String... command) throws IOException, InterruptedException {
    assertThat(new ProcessBuilder(command).start().waitFor()).isZero();
  }
}
