package org.endivemux.integration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;

/** Runs a seeded sample of the fault matrix; {@code bin/fault-matrix} runs all of it. */
final class FaultMatrixTest {
  private static final long SEED = 20_261_204;
  private static final int SINGLES = 8;
  private static final int PAIRS = 2;

  @Example
  void invariantsHoldInASeededSampleOfTheMatrix() {
    List<FaultMatrix.Cell> cells = new ArrayList<>(FaultMatrix.singles());
    Collections.shuffle(cells, new Random(SEED));
    try (FaultMatrix matrix = new FaultMatrix(SEED)) {
      cells.stream().limit(SINGLES).forEach(matrix::run);
      matrix.pairs(PAIRS).forEach(matrix::run);
    }
  }
}
