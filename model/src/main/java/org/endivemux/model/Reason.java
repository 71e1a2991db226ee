package org.endivemux.model;

import static org.endivemux.model.ExecutionStatus.NOT_RUN;
import static org.endivemux.model.ExecutionStatus.OUTCOME_UNKNOWN;

/**
 * Lists all reasons for which the system refuses a request; there are no others.
 *
 * <p>Each reason has an HTTP status, a statement of whether the request ran, a counter {@code
 * refusals.NAME} and a page {@code docs/reasons/NAME.md}. Immutable and thread-safe.
 */
public enum Reason {
  UNKNOWN_ROUTE(404, NOT_RUN, 0, "No route has this path; see the operators' pages for the list."),
  METHOD_NOT_ALLOWED(405, NOT_RUN, 0, "This path does not take this method."),
  MALFORMED_BODY(
      400, NOT_RUN, 0, "The body is malformed, or not the JSON object that this route takes."),
  BODY_TOO_LARGE(413, NOT_RUN, 0, "The body is longer than the entry accepts."),
  HEADERS_TOO_LARGE(431, NOT_RUN, 0, "The headers are longer than the entry accepts."),
  UNKNOWN_MODEL(404, NOT_RUN, 0, "No declared model has this name."),
  UNKNOWN_SERVICE(404, NOT_RUN, 0, "No declared service has this name."),
  UNKNOWN_CLASS(400, NOT_RUN, 0, "The organisation may not use the class that was asked for."),
  NO_KEY(401, NOT_RUN, 0, "Send a key in the header Authorization: Bearer."),
  WRONG_KEY(401, NOT_RUN, 0, "The key is not known."),
  KEY_WITHDRAWN(401, NOT_RUN, 0, "The key has been withdrawn."),
  ROLE_NOT_ALLOWED(403, NOT_RUN, 0, "The key's role does not allow this call."),
  KEY_IN_REQUEST(400, NOT_RUN, 0, "The key stands outside Authorization; send it nowhere else."),
  KEY_WITHDRAWN_IN_STREAM(401, OUTCOME_UNKNOWN, 0, "The key was withdrawn during the answer."),
  NO_CAPACITY(503, NOT_RUN, 2, "No backend server in service can take this request."),
  QUEUE_FULL(503, NOT_RUN, 2, "Too many requests of this organisation wait in this class."),
  ENTRY_FULL(
      503, NOT_RUN, 1, "Other requests' bodies take this entry's memory; use another entry."),
  NO_CONFIG(503, NOT_RUN, 1, "This entry has no configuration yet; use another entry."),
  NOT_TAKEN(503, NOT_RUN, 1, "No backend server that was asked has taken the request."),
  PROMPT_QUARANTINED(
      503, NOT_RUN, 30, "Backend servers crashed on a part of this prompt; it is not sent to any."),
  TOO_LATE(503, NOT_RUN, 1, "The request can not meet its class's target any more."),
  STALE_STATE(503, NOT_RUN, 1, "This entry has no proof of fresh state; use another entry."),
  DRAINING(503, NOT_RUN, 1, "This entry is shutting down; use another entry."),
  BACKEND_UNREACHABLE(502, NOT_RUN, 1, "No connection to a backend server could be opened."),
  BACKEND_FAILED(502, OUTCOME_UNKNOWN, 1, "The backend server failed before it had answered."),
  BACKEND_TIMEOUT(504, OUTCOME_UNKNOWN, 1, "The backend server went silent."),
  ANSWER_BROKEN(502, OUTCOME_UNKNOWN, 1, "The answer ended early and could not be resumed."),
  STREAM_VERSION_GONE(
      503, NOT_RUN, 1, "No backend server has the version that began this stream; begin anew."),
  STREAM_VERSION_UNKNOWN(
      503, NOT_RUN, 1, "It is not known which version began this stream; begin anew."),
  NO_IDEMPOTENCY_KEY(400, NOT_RUN, 0, "This service needs the header Idempotency-Key."),
  IDEMPOTENCY_KEY_MALFORMED(
      400, NOT_RUN, 0, "Make the Idempotency-Key a version 7 UUID, so that its age can be told."),
  IDEMPOTENCY_KEY_TOO_OLD(
      409, OUTCOME_UNKNOWN, 0, "The Idempotency-Key is older than outcomes are kept."),
  IDEMPOTENCY_KEY_REUSED(
      422, NOT_RUN, 0, "The Idempotency-Key was used before with another request."),
  IN_PROGRESS(409, OUTCOME_UNKNOWN, 1, "The first call with this key is still under way."),
  OUTCOME_LOST(409, OUTCOME_UNKNOWN, 0, "The first call's outcome is not known; reconcile it."),
  OUTCOME_NOT_FOUND(404, NOT_RUN, 0, "No call with this key has been claimed."),
  CONTROL_UNAVAILABLE(503, NOT_RUN, 1, "No control leader could be reached in time."),
  INVALID_PLAN(400, NOT_RUN, 0, "The declaration has errors; correct them and plan again."),
  PLAN_REUSED(409, NOT_RUN, 0, "The plan's id was used before with other content."),
  PLAN_UNKNOWN(404, NOT_RUN, 0, "No plan has this id."),
  PLAN_CONFLICT(409, NOT_RUN, 0, "Another plan was confirmed on the same base; plan again."),
  KEY_UNKNOWN(404, NOT_RUN, 0, "No key has this id."),
  INTERNAL(500, OUTCOME_UNKNOWN, 0, "The entry met a fault of its own; see its log.");

  private final int status;
  private final ExecutionStatus executionStatus;
  private final int retryAfterSeconds;
  private final String summary;

  Reason(int status, ExecutionStatus executionStatus, int retryAfterSeconds, String summary) {
    this.status = status;
    this.executionStatus = executionStatus;
    this.retryAfterSeconds = retryAfterSeconds;
    this.summary = summary;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns whether the request may have run. */
  public ExecutionStatus executionStatus() {
    return executionStatus;
  }

  /** Returns the seconds for {@code Retry-After}; 0 when a retry is useless. */
  public int retryAfterSeconds() {
    return retryAfterSeconds;
  }

  /** Returns one sentence that states the problem or its remedy. */
  public String summary() {
    return summary;
  }
}
