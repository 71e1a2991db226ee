package org.endivemux.integration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import net.jqwik.api.Example;

/** Runs the soak with many seeds; see {@code bin/soak}. */
final class GatewaySoakBench {
  @Example
  void manySeeds() throws Exception {
    long first = Long.getLong("first", 1);
    int count = Integer.getInteger("seeds", 50);
    List<String> failed = new ArrayList<>();
    try (var pool = new Pool(Integer.getInteger("jobs", 2))) {
      List<Future<String>> runs =
          LongStream.range(first, first + count)
              .mapToObj(seed -> pool.threads.submit(() -> outcome(seed)))
              .toList();
      for (Future<String> run : runs) {
        if (!run.get().isEmpty()) {
          failed.add(run.get());
        }
      }
    }
    System.out.println("soak seeds=" + count + " first=" + first + " failed=" + failed.size());
    failed.forEach(System.out::println);
  }

  private static String outcome(long seed) {
    GatewaySoak soak = new GatewaySoak(seed, GatewaySoak.STEPS);
    try {
      List<String> violations = soak.run();
      return violations.isEmpty()
          ? ""
          : "seed " + seed + " " + soak.faultHistory() + " logs " + soak.logs() + ": " + violations;
    } catch (AssertionError e) {
      return e.getMessage() + " logs " + soak.logs();
    }
  }

  private record Pool(ExecutorService threads) implements AutoCloseable {
    Pool(int size) {
      this(Executors.newFixedThreadPool(size));
    }

    @Override
    public void close() {
      threads.shutdown();
    }
  }
}
