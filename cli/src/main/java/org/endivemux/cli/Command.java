package org.endivemux.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Supplier;

/** Is one subcommand. Implementations are stateless and thread-safe. */
interface Command {
  /** Returns the words after {@code endivemux} that name it. */
  String name();

  /** Returns the arguments that it takes, for the help. */
  String arguments();

  /** Returns one sentence on what it does. */
  String summary();

  /** Returns an example for the help. */
  String example();

  /** Runs it; throws {@link CliException}. A command that asks no VM leaves the session unused. */
  JsonNode run(Supplier<Session> session, Arguments arguments);

  /** Holds the words after the subcommand's name, and its options. Immutable and thread-safe. */
  record Arguments(List<String> words, java.util.Map<String, String> options) {
    public Arguments {
      words = List.copyOf(words);
      options = java.util.Map.copyOf(options);
    }

    String word(int index, String what) {
      if (index >= words.size()) {
        throw new CliException(ExitStatus.USAGE, "Name the " + what + "; see --help.");
      }
      return words.get(index);
    }

    String option(String name, String otherwise) {
      return options.getOrDefault(name, otherwise);
    }

    String required(String name) {
      if (!options.containsKey(name)) {
        throw new CliException(ExitStatus.USAGE, "Add --" + name + "; see --help.");
      }
      return options.get(name);
    }
  }
}
