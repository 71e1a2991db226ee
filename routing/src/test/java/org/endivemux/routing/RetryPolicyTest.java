package org.endivemux.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.RetryReason;
import org.endivemux.routing.RetryPolicy.Delivered;
import org.endivemux.routing.RetryPolicy.FailedAttempt;
import org.endivemux.routing.RetryPolicy.Failure;

/** Tests which failed attempts may be followed by another one. */
final class RetryPolicyTest {
  @Property
  void requestThatMayHaveRunIsSentAgainOnlyIfItMayBeRepeated(
      @ForAll boolean mayHaveBeenSent,
      @ForAll Failure failure,
      @ForAll Delivered delivered,
      @ForAll boolean mayRepeat) {
    FailedAttempt attempt = new FailedAttempt(mayHaveBeenSent, failure, delivered);
    Optional<RetryReason> reason = RetryPolicy.reason(attempt, mayRepeat);
    boolean certainlyNotRun = !mayHaveBeenSent || failure == Failure.NOT_RUN;
    boolean canBeContinued = delivered != Delivered.NOT_RESUMABLE;
    assertThat(attempt.mayHaveRun()).isEqualTo(!certainlyNotRun);
    assertThat(reason.isPresent()).isEqualTo(certainlyNotRun || (mayRepeat && canBeContinued));
  }

  @Example
  void streamThatGetsOnMayBeResumedMoreOftenThanOneThatDoesNot() {
    assertThat(RetryPolicy.allowsAnother(4, false)).isFalse();
    assertThat(RetryPolicy.allowsAnother(4, true)).isTrue();
    assertThat(RetryPolicy.allowsAnother(8, true)).isFalse();
  }
}
