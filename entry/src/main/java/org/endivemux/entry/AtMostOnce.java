package org.endivemux.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.endivemux.control.ControlException;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.ClaimOwner;
import org.endivemux.control.state.ClaimState;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.model.Bytes;
import org.endivemux.model.ExecutionStatus;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;
import org.endivemux.model.Reason;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Executes non-idempotent calls at most once.
 *
 * <p>Invariants: a call is claimed in the replicated log by this process before any byte is sent;
 * its outcome is committed to the log before the caller gets a response; once a byte may have been
 * sent, the call is never sent again and never reported as "not run"; a call in progress is
 * completed and recorded even if its caller disconnects. Thread-safe.
 */
final class AtMostOnce {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long the entry keeps trying to submit an outcome to the control group. */
  private static final Duration RECORDING_TIMEOUT = Duration.ofMinutes(4);

  private final ControlClient control;
  private final AttemptRunner attempts;
  private final BackendClient client;
  private final Limits limits;

  AtMostOnce(ControlClient control, AttemptRunner attempts, BackendClient client, Limits limits) {
    this.control = control;
    this.attempts = attempts;
    this.client = client;
    this.limits = limits;
  }

  /** Identifies one call by organisation, key and request digest, and the owner of its claim. */
  record Call(
      OrganisationId organisation, IdempotencyKey key, String requestDigest, ClaimOwner owner) {}

  /** Runs the call or replays its recorded response; fails with {@link RefusedException}. */
  Mono<BufferedResponse> run(Call call, UpstreamRequest upstream) {
    Sinks.One<BufferedResponse> result = Sinks.one();
    claim(call)
        .flatMap(
            answer ->
                answer instanceof CommandResult.ClaimDone done
                    ? Mono.just(replay(done.outcome()))
                    : sendAndRecord(call, upstream))
        .subscribe(result::tryEmitValue, result::tryEmitError);
    return result.asMono();
  }

  private static BufferedResponse replay(Outcome outcome) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, outcome.contentType());
    headers.set("idempotent-replayed", "true");
    return new BufferedResponse(outcome.status(), headers, outcome.body().toArray());
  }

  private Mono<CommandResult> claim(Call call) {
    Command open =
        new Command.OpenClaim(call.organisation(), call.key(), call.requestDigest(), call.owner());
    return submit(open, limits.control())
        .doOnError(error -> release(call))
        .onErrorMap(
            ControlException.class, error -> new RefusedException(Reason.CONTROL_UNAVAILABLE))
        .flatMap(
            answer ->
                answer instanceof CommandResult.Refused refused
                    ? Mono.error(new RefusedException(refused.reason(), refused.detail()))
                    : Mono.just(answer));
  }

  private Mono<BufferedResponse> sendAndRecord(Call call, UpstreamRequest upstream) {
    Flux<BufferedResponse> sent =
        attempts.run(
            upstream,
            (assignment, attempt) -> BufferedResponse.send(client, upstream, assignment, attempt));
    return sent.next()
        .switchIfEmpty(Mono.error(() -> new RefusedException(Reason.BACKEND_FAILED)))
        .onErrorResume(error -> recordFailure(call, error).then(Mono.error(error)))
        .flatMap(response -> recordOutcome(call, response));
  }

  private Mono<CommandResult> recordFailure(Call call, Throwable error) {
    boolean notRun =
        error instanceof RefusedException refused
            && refused.reason().executionStatus() == ExecutionStatus.NOT_RUN;
    Command command =
        notRun
            ? new Command.ReleaseClaim(call.organisation(), call.key(), call.owner())
            : new Command.MarkOutcomeUnknown(call.organisation(), call.key(), call.owner());
    logClosing(call, notRun ? ClaimState.RELEASED : ClaimState.UNKNOWN, error.toString());
    submitUntilRecorded(command);
    return notRun
        ? submit(command, limits.control()).onErrorResume(ignored -> Mono.empty())
        : Mono.empty();
  }

  private Mono<BufferedResponse> recordOutcome(Call call, BufferedResponse response) {
    if (response.body().length > limits.outcomeBytes()) {
      logClosing(call, ClaimState.UNKNOWN, "the response is too long");
      submitUntilRecorded(
          new Command.MarkOutcomeUnknown(call.organisation(), call.key(), call.owner()));
      return Mono.error(
          new RefusedException(Reason.OUTCOME_LOST, "The response is too long to be recorded."));
    }
    logClosing(call, ClaimState.DONE, "status " + response.status());
    Command finish =
        new Command.FinishClaim(call.organisation(), call.key(), call.owner(), outcome(response));
    return submit(finish, limits.control())
        .doOnError(error -> submitUntilRecorded(finish))
        .onErrorMap(error -> new RefusedException(Reason.OUTCOME_LOST))
        .thenReturn(response);
  }

  /** Logs how a call ended, which its caller may no longer be there to learn. */
  private static void logClosing(Call call, ClaimState state, String cause) {
    logger.atInfo().log(
        "event=claim_closing request=%s state=%s cause=\"%s\"",
        call.owner().request(), state, cause);
  }

  private static Outcome outcome(BufferedResponse response) {
    String contentType =
        Optional.ofNullable(response.headers().get(HttpHeaderNames.CONTENT_TYPE))
            .orElse("application/octet-stream");
    return new Outcome(response.status(), contentType, Bytes.of(response.body()));
  }

  private void release(Call call) {
    submitUntilRecorded(new Command.ReleaseClaim(call.organisation(), call.key(), call.owner()));
  }

  private void submitUntilRecorded(Command command) {
    submit(command, RECORDING_TIMEOUT)
        .subscribe(
            done -> {}, error -> logger.atSevere().log("event=claim_not_closed cause=%s", error));
  }

  private Mono<CommandResult> submit(Command command, Duration limit) {
    return control
        .ask(new ControlRequest.Submit(command), limit)
        .map(reply -> ((ControlReply.SubmitReply) reply).result());
  }
}
