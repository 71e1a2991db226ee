package org.endivemux.testing;

import java.util.Arrays;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Runs a stand-in as a separate process. */
public final class StandInMain {
  private static final String USAGE =
      "Usage: standins engine|service|platform --port N"
          + " [--slots N] [--token-micros N] [--prompt-token-micros N] [--report-lag-millis N]"
          + " [--checks-fencing true|false]"
          + System.lineSeparator()
          + "       standins hop SERVICE ENGINE ENTRY KEY";

  private StandInMain() {}

  public static void main(String[] args) throws InterruptedException {
    if (args.length == 5 && args[0].equals("hop")) {
      new HopBench(args[1], args[2], args[3], args[4]).run();
      System.exit(0);
    }
    try {
      start(args);
      Thread.currentThread().join();
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println(e.getMessage() + System.lineSeparator() + USAGE);
      System.exit(2);
    }
  }

  private static void start(String[] args) {
    if (args.length == 0) {
      throw new IllegalArgumentException("The stand-in to start is missing.");
    }
    OptionParser parser = new OptionParser();
    var port = parser.accepts("port").withRequiredArg().ofType(Integer.class).required();
    var slots = parser.accepts("slots").withRequiredArg().ofType(Integer.class).defaultsTo(16);
    var token =
        parser.accepts("token-micros").withRequiredArg().ofType(Integer.class).defaultsTo(2000);
    var prompt =
        parser
            .accepts("prompt-token-micros")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(20);
    var lag =
        parser.accepts("report-lag-millis").withRequiredArg().ofType(Integer.class).defaultsTo(500);
    var fencing =
        parser.accepts("checks-fencing").withRequiredArg().ofType(Boolean.class).defaultsTo(true);
    OptionSet options = parser.parse(Arrays.copyOfRange(args, 1, args.length));
    int number = options.valueOf(port);
    boolean checks = options.valueOf(fencing);
    AutoCloseable unused =
        switch (args[0]) {
          case "engine" ->
              new Engine(
                  number,
                  new EngineSettings(
                      options.valueOf(slots),
                      options.valueOf(token),
                      options.valueOf(prompt),
                      64,
                      options.valueOf(lag),
                      checks));
          case "service" -> new PlainService(number);
          case "platform" -> new Platform(number, checks);
          default -> throw new IllegalArgumentException("Unknown stand-in " + args[0] + ".");
        };
  }
}
