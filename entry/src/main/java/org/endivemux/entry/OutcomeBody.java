package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.endivemux.control.state.Claim;
import org.endivemux.control.state.ClaimState;
import org.endivemux.model.Outcome;

/**
 * Holds the JSON body that describes a claimed call to its caller. Immutable and thread-safe.
 *
 * @param body the recorded response as text, empty unless the state is DONE
 */
record OutcomeBody(
    ClaimState state, int status, @JsonProperty("content_type") String contentType, String body) {
  static OutcomeBody of(Claim claim) {
    return claim
        .outcome()
        .map(OutcomeBody::done)
        .orElseGet(() -> new OutcomeBody(claim.state(), 0, "", ""));
  }

  private static OutcomeBody done(Outcome outcome) {
    return new OutcomeBody(
        ClaimState.DONE, outcome.status(), outcome.contentType(), outcome.body().toUtf8());
  }
}
