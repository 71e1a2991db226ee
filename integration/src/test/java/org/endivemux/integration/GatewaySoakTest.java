package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Runs the soak with two seeds that found faults earlier; {@code bin/soak} runs many seeds. */
final class GatewaySoakTest {
  @Example
  void streamsBrokenByAKilledEntryDoNotLookComplete() {
    assertThat(new GatewaySoak(101, GatewaySoak.STEPS).run()).isEmpty();
  }

  @Example
  void refusedRequestsHoldNoSlotsAfterTheFaults() {
    assertThat(new GatewaySoak(110, GatewaySoak.STEPS).run()).isEmpty();
  }
}
