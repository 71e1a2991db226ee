package org.endivemux.integration;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * Runs scenarios against real daemons and prints one table row for each class. Not part of CI; run
 * by bin/experiment.
 */
final class ExperimentBench {
  private static final long SEED = 7;

  @Example
  void run() throws IOException {
    YAMLMapper yaml = new YAMLMapper();
    System.out.println(
        "EXPERIMENT scenario | policy | class | sent | on time % | refused % | late % | p50 ms |"
            + " p99 ms | longest ms | worst organisation % | goodput tokens/s | wasted % | cheap % |"
            + " doubles");
    List<Path> files =
        Stream.of(System.getProperty("scenarios").split(",", -1)).map(Path::of).toList();
    for (String policy : System.getProperty("policies").split(",", -1)) {
      for (Path file : files) {
        Scenario scenario = yaml.readValue(Files.readString(file), Scenario.class);
        try (Experiment experiment = new Experiment(scenario, policy, SEED)) {
          experiment.run().forEach(row -> System.out.println("EXPERIMENT " + row));
        }
      }
    }
  }
}
