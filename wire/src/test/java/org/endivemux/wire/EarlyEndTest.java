package org.endivemux.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import reactor.core.publisher.Sinks;

/** Tests that a flux that fails early cancels its source. */
final class EarlyEndTest {
  private final Sinks.Many<Integer> source = Sinks.many().multicast().directBestEffort();
  private final Sinks.One<Throwable> failure = Sinks.one();
  private final List<Integer> received = new ArrayList<>();
  private final List<Throwable> errors = new ArrayList<>();
  private boolean completed;

  EarlyEndTest() {
    EarlyEnd.failOn(source.asFlux(), failure.asMono())
        .subscribe(received::add, errors::add, () -> completed = true);
  }

  @Example
  void failureCancelsTheSource() {
    source.tryEmitNext(1).orThrow();
    IllegalStateException cause = new IllegalStateException();
    failure.tryEmitValue(cause).orThrow();
    assertThat(source.currentSubscriberCount()).isZero();
    assertThat(received).containsExactly(1);
    assertThat(errors).containsExactly(cause);
  }

  @Example
  void sourceThatEndsFirstIsNotAFailure() {
    source.tryEmitComplete().orThrow();
    assertThat(completed).isTrue();
    assertThat(failure.currentSubscriberCount()).isZero();
    assertThat(errors).isEmpty();
  }
}
