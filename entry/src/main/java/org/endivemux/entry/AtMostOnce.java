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
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.model.Bytes;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;
import org.endivemux.model.Ran;
import org.endivemux.model.Reason;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Runs a call at most once.
 *
 * <p>Invariants: the call is claimed in the log before a byte leaves, and only by this process; its
 * outcome is in the log before the caller is answered; after a byte may have left, the call is
 * never sent again and the answer is never "not run"; a call under way is finished and recorded
 * although its caller has gone. Thread-safe.
 */
final class AtMostOnce {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long an outcome is offered to the control group. */
  private static final Duration RECORDING = Duration.ofMinutes(4);

  private final ControlClient control;
  private final Tries tries;
  private final BackendClient client;
  private final Limits limits;

  AtMostOnce(ControlClient control, Tries tries, BackendClient client, Limits limits) {
    this.control = control;
    this.tries = tries;
    this.client = client;
    this.limits = limits;
  }

  /** Names one call: whose it is, its key, what it asks, and who would send it. */
  record Call(
      OrganisationId organisation, IdempotencyKey key, String requestDigest, ClaimOwner owner) {}

  /** Runs the call or repeats its recorded answer; fails with {@link RefusedException}. */
  Mono<WholeAnswer> run(Call call, Work work) {
    Sinks.One<WholeAnswer> result = Sinks.one();
    claim(call)
        .flatMap(
            answer ->
                answer instanceof CommandResult.ClaimDone it
                    ? Mono.just(recorded(it.outcome()))
                    : sendAndRecord(call, work))
        .subscribe(result::tryEmitValue, result::tryEmitError);
    return result.asMono();
  }

  private static WholeAnswer recorded(Outcome outcome) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, outcome.contentType());
    headers.set("idempotent-replayed", "true");
    return new WholeAnswer(outcome.status(), headers, outcome.body().toArray());
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
                answer instanceof CommandResult.Refused it
                    ? Mono.error(new RefusedException(it.reason(), it.detail()))
                    : Mono.just(answer));
  }

  private Mono<WholeAnswer> sendAndRecord(Call call, Work work) {
    Flux<WholeAnswer> sent =
        tries.run(work, (assignment, oneTry) -> WholeAnswer.send(client, work, assignment, oneTry));
    return sent.next()
        .switchIfEmpty(Mono.error(() -> new RefusedException(Reason.BACKEND_FAILED)))
        .onErrorResume(error -> recordFailure(call, error).then(Mono.error(error)))
        .flatMap(answer -> recordOutcome(call, answer));
  }

  private Mono<CommandResult> recordFailure(Call call, Throwable error) {
    boolean notRun = error instanceof RefusedException it && it.reason().ran() == Ran.NOT_RUN;
    Command command =
        notRun
            ? new Command.ReleaseClaim(call.organisation(), call.key(), call.owner())
            : new Command.MarkOutcomeUnknown(call.organisation(), call.key(), call.owner());
    keepSubmitting(command);
    return notRun
        ? submit(command, limits.control()).onErrorResume(late -> Mono.empty())
        : Mono.empty();
  }

  private Mono<WholeAnswer> recordOutcome(Call call, WholeAnswer answer) {
    if (answer.body().length > limits.outcomeBytes()) {
      keepSubmitting(new Command.MarkOutcomeUnknown(call.organisation(), call.key(), call.owner()));
      return Mono.error(
          new RefusedException(Reason.OUTCOME_LOST, "The answer is too long to be recorded."));
    }
    Command finish =
        new Command.FinishClaim(call.organisation(), call.key(), call.owner(), outcome(answer));
    return submit(finish, limits.control())
        .doOnError(error -> keepSubmitting(finish))
        .onErrorMap(error -> new RefusedException(Reason.OUTCOME_LOST))
        .thenReturn(answer);
  }

  private static Outcome outcome(WholeAnswer answer) {
    String contentType =
        Optional.ofNullable(answer.headers().get(HttpHeaderNames.CONTENT_TYPE))
            .orElse("application/octet-stream");
    return new Outcome(answer.status(), contentType, Bytes.of(answer.body()));
  }

  private void release(Call call) {
    keepSubmitting(new Command.ReleaseClaim(call.organisation(), call.key(), call.owner()));
  }

  private void keepSubmitting(Command command) {
    submit(command, RECORDING)
        .subscribe(
            done -> {}, error -> logger.atSevere().log("event=claim_not_closed cause=%s", error));
  }

  private Mono<CommandResult> submit(Command command, Duration limit) {
    return control
        .ask(new ControlRequest.Submit(command), limit)
        .map(reply -> ((ControlReply.SubmitReply) reply).result());
  }
}
