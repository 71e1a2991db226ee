package org.endivemux.integration;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Runs the soak with two of the seeds that once failed; {@code bin/soak} runs it with many. */
final class GatewaySoakTest {
  @Example
  void streamsThatAKilledEntryBreaksOffDoNotLookWhole() {
    assertThat(new GatewaySoak(101, GatewaySoak.STEPS).run()).isEmpty();
  }

  @Example
  void refusedRequestsTakeNoRoomAfterTheFaults() {
    assertThat(new GatewaySoak(110, GatewaySoak.STEPS).run()).isEmpty();
  }
}
