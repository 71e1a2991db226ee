package org.endivemux.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Entry point of the operators' command-line tool. */
public final class CliMain {
  private static final List<String> COMMAND_OPTIONS =
      List.of("id", "organisation", "role", "label");

  /** Options without a value. */
  private static final List<String> FLAGS = List.of("end");

  private static final List<String> OUTPUT_FORMATS = List.of("table", "json");

  private CliMain() {}

  public static void main(String[] args) {
    System.exit(run(args).code());
  }

  private static ExitStatus run(String[] args) {
    try {
      return run(parser().parse(args));
    } catch (OptionException e) {
      System.err.println(e.getMessage() + "; see --help.");
      return ExitStatus.USAGE;
    } catch (CliException e) {
      System.err.println(e.getMessage());
      return e.status();
    }
  }

  private static OptionParser parser() {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "show this help");
    parser.accepts("servers", "VMs to try in turn").withRequiredArg();
    parser.accepts("key-file", "file that contains the key").withRequiredArg();
    parser.accepts("output", "table or json").withRequiredArg().defaultsTo("table");
    FLAGS.forEach(parser::accepts);
    COMMAND_OPTIONS.forEach(name -> parser.accepts(name).withRequiredArg());
    return parser;
  }

  private static ExitStatus run(OptionSet options) {
    List<String> words = options.nonOptionArguments().stream().map(Object::toString).toList();
    if (options.has("help") || words.isEmpty()) {
      System.out.println(help());
      return options.has("help") ? ExitStatus.OK : ExitStatus.USAGE;
    }
    String format = (String) options.valueOf("output");
    if (!OUTPUT_FORMATS.contains(format)) {
      throw new CliException(ExitStatus.USAGE, "Use --output table or --output json.");
    }
    Command command = find(words);
    int nameWords = command.name().split(" ", -1).length;
    Command.Arguments arguments =
        new Command.Arguments(words.subList(nameWords, words.size()), commandOptions(options));
    JsonNode result = command.run(() -> session(options), arguments);
    System.out.println(Output.of(result, format));
    boolean notYet = result.has("in_force") && !result.path("in_force").asBoolean();
    return notYet ? ExitStatus.NOT_YET_IN_FORCE : ExitStatus.OK;
  }

  private static Map<String, String> commandOptions(OptionSet options) {
    return Stream.concat(COMMAND_OPTIONS.stream(), FLAGS.stream())
        .filter(options::has)
        .collect(
            Collectors.toMap(
                name -> name, name -> FLAGS.contains(name) ? "" : (String) options.valueOf(name)));
  }

  private static Command find(List<String> words) {
    String line = String.join(" ", words) + " ";
    return Commands.all().stream()
        .filter(command -> line.startsWith(command.name() + " "))
        .max(Comparator.comparingInt(command -> command.name().length()))
        .orElseThrow(
            () ->
                new CliException(
                    ExitStatus.USAGE, "The command " + words.get(0) + " is unknown; see --help."));
  }

  private static Session session(OptionSet options) {
    String servers =
        option(options, "servers", "ENDIVEMUX_SERVERS")
            .orElseThrow(
                () ->
                    new CliException(
                        ExitStatus.USAGE,
                        "List the VMs with --servers or in ENDIVEMUX_SERVERS, such as"
                            + " 127.0.0.1:8081,127.0.0.1:8082."));
    Optional<String> key = option(options, "key-file", "ENDIVEMUX_KEY_FILE").map(CliMain::readKey);
    return new Session(Arrays.stream(servers.split(",", -1)).map(String::strip).toList(), key);
  }

  private static Optional<String> option(OptionSet options, String name, String variable) {
    return options.has(name)
        ? Optional.of((String) options.valueOf(name))
        : Optional.ofNullable(System.getenv(variable));
  }

  private static String readKey(String file) {
    try {
      return Files.readString(Path.of(file)).strip();
    } catch (IOException e) {
      throw new CliException(
          ExitStatus.USAGE, "The key file " + file + " cannot be read; check the path.");
    }
  }

  private static String help() {
    String head =
        """
        endivemux COMMAND [ARGUMENTS] [--servers A,B] [--key-file FILE] [--output table|json]

        Servers and key file can also be set in ENDIVEMUX_SERVERS and ENDIVEMUX_KEY_FILE.
        Exit status: 0 success, 2 usage error, 3 refused, 4 no VM responded, 5 not yet in force.
        """;
    return Stream.concat(Stream.of(head), Commands.all().stream().map(CliMain::helpOf))
        .collect(Collectors.joining(System.lineSeparator()));
  }

  private static String helpOf(Command command) {
    return "  %s %s%n      %s%n      Example: %s"
        .formatted(command.name(), command.arguments(), command.summary(), command.example());
  }
}
