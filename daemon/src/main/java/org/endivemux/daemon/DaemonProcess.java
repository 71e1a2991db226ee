package org.endivemux.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.endivemux.control.voter.Clocks;
import org.endivemux.storage.StorageException;
import org.endivemux.wire.WireException;
import reactor.netty.ChannelBindException;

/**
 * Parses the command line and runs the daemon. Logging is configured before this class is loaded.
 * Stateless.
 */
final class DaemonProcess {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int USAGE_ERROR = 2;
  private static final int DATA_ERROR = 70;

  /** The status of a process that SIGHUP ends. */
  private static final int HANGUP = 129;

  private DaemonProcess() {}

  /** Returns an exit status, or a negative number if the daemon keeps running. */
  static int run(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> file =
        parser.accepts("settings", "the settings file in YAML").withRequiredArg();
    OptionSpec<String> gateway =
        parser
            .accepts("gateway-settings", "the settings file of a gateway in YAML")
            .withRequiredArg();
    OptionSpec<Void> check = parser.accepts("check", "check the settings and exit");
    OptionSpec<String> config =
        parser
            .accepts("check-config", "check a configuration before it is sent, and exit")
            .withRequiredArg();
    OptionSpec<String> inForce =
        parser
            .accepts("in-force", "the version in force, to show differences from it")
            .availableIf("check-config")
            .withRequiredArg();
    OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
    try {
      OptionSet options = parser.parse(args);
      if (options.has(help)) {
        parser.printHelpOn(System.out);
        return 0;
      }
      if (options.has(config)) {
        return new ConfigCheckCommand(System.out)
            .run(
                Path.of(options.valueOf(config)),
                Optional.ofNullable(options.valueOf(inForce)).map(Path::of));
      }
      if (options.has(gateway)) {
        return startGateway(Path.of(options.valueOf(gateway)), options.has(check));
      }
      if (!options.has(file)) {
        return fail(
            "No settings file given; use --settings FILE, --gateway-settings FILE or --help.");
      }
      Settings settings = SettingsReader.read(Path.of(options.valueOf(file)));
      return options.has(check) ? reportValid(settings) : start(options.valueOf(file), settings);
    } catch (OptionException e) {
      return fail(e.getMessage() + "; use --settings FILE, --check or --help.");
    } catch (SettingsException e) {
      return fail(e.getMessage());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static int reportValid(Settings settings) {
    System.out.println("The settings of " + settings.vm() + " are valid.");
    return 0;
  }

  private static int start(String file, Settings settings) {
    try {
      Daemon daemon =
          new Daemon(settings, Clocks.system(), DaemonProcess::haltOnFatalError).start();
      handleHangups(DaemonProcess::exitOnHangup);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "drain"));
      return -1;
    } catch (ChannelBindException e) {
      return fail(
          file
              + ": "
              + (e.localPort() == settings.httpAddress().getPort() ? "httpAddress" : "peerAddress")
              + ": the port "
              + e.localPort()
              + " is in use; stop the other process or choose another port.");
    } catch (WireException e) {
      return fail(file + ": tls: " + e.getMessage());
    } catch (StorageException e) {
      logger.atSevere().log("event=data_folder_unusable cause=\"%s\"", e.getMessage());
      Logging.flush();
      return DATA_ERROR;
    }
  }

  private static int startGateway(Path file, boolean checkOnly) {
    GatewaySettings settings = GatewaySettings.read(file);
    if (checkOnly) {
      System.out.println("The settings of " + settings.vm() + " are valid.");
      return 0;
    }
    try {
      GatewayDaemon daemon =
          new GatewayDaemon(settings, Clocks.system(), DaemonProcess::haltOnFatalError).start();
      handleHangups(() -> reload(daemon, file));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "drain"));
      return -1;
    } catch (ChannelBindException e) {
      return fail(file + ": the port " + e.localPort() + " is in use; stop the other process.");
    } catch (StorageException e) {
      logger.atSevere().log("event=data_folder_unusable cause=\"%s\"", e.getMessage());
      Logging.flush();
      return DATA_ERROR;
    }
  }

  private static void handleHangups(Runnable action) {
    HangupSignal.failure()
        .ifPresent(error -> logger.atWarning().log("event=hangup_unhandled cause=\"%s\"", error));
    HangupSignal.onHangup(action);
  }

  /** Stops in order; on a thread of its own, since an exit waits until no signal is handled. */
  private static void exitOnHangup() {
    new Thread(() -> System.exit(HANGUP), "hangup").start();
  }

  private static void reload(GatewayDaemon daemon, Path file) {
    try {
      daemon.reload(GatewaySettings.read(file));
    } catch (SettingsException e) {
      logger.atWarning().log("event=settings_kept cause=\"%s\"", e.getMessage());
    }
  }

  private static void stop(GatewayDaemon daemon) {
    daemon.stop().block();
    logger.atInfo().log("event=stopped");
    Logging.flush();
  }

  private static void stop(Daemon daemon) {
    daemon.stop().block();
    logger.atInfo().log("event=stopped");
    Logging.flush();
  }

  /** Ends the process even if there is no memory left to log the error. */
  private static void haltOnFatalError(Throwable error) {
    try {
      logger.atSevere().withCause(error).log(
          "event=fatal remedy=\"see the documentation page on lost disks\"");
      Logging.flush();
    } finally {
      Runtime.getRuntime().halt(DATA_ERROR);
    }
  }

  private static int fail(String message) {
    System.err.println(message);
    return USAGE_ERROR;
  }
}
