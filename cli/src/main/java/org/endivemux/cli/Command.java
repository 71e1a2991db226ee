package org.endivemux.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Supplier;

/** A subcommand. Implementations are stateless and thread-safe. */
interface Command {
  /** Returns the words after {@code endivemux} that select this subcommand. */
  String name();

  /** Returns a summary of its arguments, for the help text. */
  String arguments();

  /** Returns one sentence that describes it, for the help text. */
  String summary();

  /** Returns an example for the help text. */
  String example();

  /** Runs the command; throws {@link CliException}. A local command does not use the session. */
  JsonNode run(Supplier<Session> session, Arguments arguments);

  /** The words after the subcommand's name, and its options. Immutable and thread-safe. */
  record Arguments(List<String> words, java.util.Map<String, String> options) {
    public Arguments {
      words = List.copyOf(words);
      options = java.util.Map.copyOf(options);
    }

    String word(int index, String what) {
      if (index >= words.size()) {
        throw new CliException(ExitStatus.USAGE, "Missing argument: the " + what + "; see --help.");
      }
      return words.get(index);
    }

    String option(String name, String defaultValue) {
      return options.getOrDefault(name, defaultValue);
    }

    boolean has(String name) {
      return options.containsKey(name);
    }

    String required(String name) {
      if (!options.containsKey(name)) {
        throw new CliException(ExitStatus.USAGE, "Add --" + name + "; see --help.");
      }
      return options.get(name);
    }
  }
}
