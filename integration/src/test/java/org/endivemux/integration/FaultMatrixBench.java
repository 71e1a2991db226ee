package org.endivemux.integration;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Runs the full fault matrix and prints a table. Not part of CI; run by bin/fault-matrix. */
final class FaultMatrixBench {
  private static final long SEED = 20_261_204;
  private static final int PAIRS = 20;

  @Example
  void printTable() {
    List<String> failed = new ArrayList<>();
    List<FaultMatrix.Cell> cells = new ArrayList<>(FaultMatrix.singles());
    FaultMatrix matrix = new FaultMatrix(SEED);
    cells.addAll(matrix.pairs(PAIRS));
    List<String> only = List.of(System.getProperty("cells", "").split(",", -1));
    cells.removeIf(cell -> only.stream().noneMatch(cell.toString()::contains));
    for (FaultMatrix.Cell cell : cells) {
      try {
        long start = System.nanoTime();
        matrix.run(cell);
        System.out.printf("MATRIX ok %s %.1f s%n", cell, (System.nanoTime() - start) / 1e9);
      } catch (AssertionError | RuntimeException e) {
        System.out.println("MATRIX FAILED " + cell + " " + String.valueOf(e.getMessage()).strip());
        failed.add(cell.toString());
        matrix.close();
        matrix = new FaultMatrix(SEED);
      }
    }
    matrix.close();
    System.out.printf("MATRIX %d cells, %d failed%n", cells.size(), failed.size());
    if (!failed.isEmpty()) {
      throw new AssertionError(failed.toString());
    }
  }
}
