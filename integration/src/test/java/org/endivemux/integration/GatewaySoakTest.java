package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Runs the soak shortly with fixed seeds; {@code bin/soak} runs it with many. */
final class GatewaySoakTest {
  private static final int STEPS = 10;

  @Example
  void promisesHoldUnderOverlappingFaults() {
    assertThat(new GatewaySoak(1, STEPS).run()).isEmpty();
  }

  @Example
  void promisesHoldUnderOtherOverlappingFaults() {
    assertThat(new GatewaySoak(2, STEPS).run()).isEmpty();
  }
}
