package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.endivemux.model.RequestId;

/** Holds the JSON body of a refusal. Immutable and thread-safe. */
record ErrorBody(Detail error) {
  static ErrorBody of(RefusedException refused, RequestId request) {
    String name = refused.reason().name();
    return new ErrorBody(
        new Detail(
            name,
            refused.detail(),
            refused.reason().executionStatus().text(),
            "docs/reasons/" + name + ".md",
            request.value()));
  }

  /** Holds a stable reason, a message, whether the request ran, and a page to read. */
  record Detail(
      String reason,
      String message,
      String ran,
      String docs,
      @JsonProperty("request_id") String requestId) {}
}
