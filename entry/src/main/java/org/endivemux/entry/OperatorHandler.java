package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.endivemux.control.ControlException;
import org.endivemux.control.client.ControlClient;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Declaration;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyRole;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.PlanId;
import org.endivemux.model.Reason;
import org.endivemux.model.VmId;
import reactor.core.publisher.Mono;

/** Serves the operators' API and callers' queries for outcomes. Thread-safe. */
final class OperatorHandler {
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(3);
  private static final int OK = 200;

  private final Authenticator authenticator;
  private final ControlClient control;
  private final Limits limits;
  private final Runnable drain;

  OperatorHandler(
      Authenticator authenticator, ControlClient control, Limits limits, Runnable drain) {
    this.drain = drain;
    this.authenticator = authenticator;
    this.control = control;
    this.limits = limits;
  }

  private record PlanBody(PlanId plan, Long base, Declaration declaration) {}

  private record KeyBody(
      KeyDigest digest, OrganisationId organisation, KeyRole role, String label) {}

  private record LeavingBody(List<BackendServerId> ids, boolean leaving) {}

  private record Confirmation(
      PlanId plan,
      long version,
      String by,
      @JsonProperty("in_force") boolean inForce,
      List<VmId> missing) {}

  private record Effect(@JsonProperty("in_force") boolean inForce, List<VmId> missing) {}

  private Mono<Caller> authorize(Exchange exchange, KeyRole role) {
    return authenticator
        .caller(exchange.request(), role)
        .fold(reason -> Mono.error(new RefusedException(reason)), Mono::just);
  }

  private static String actorName(Caller caller) {
    return caller.info().label() + " (" + caller.digest().value().substring(0, 8) + ")";
  }

  Mono<Void> plan(Exchange exchange) {
    return authorize(exchange, KeyRole.OPERATOR)
        .flatMap(
            caller ->
                exchange
                    .body(limits.bodyBytes())
                    .map(body -> Json.read(body, PlanBody.class))
                    .flatMap(body -> submit(toCommand(body, caller))))
        .flatMap(answer -> exchange.json(OK, answer));
  }

  private static Command toCommand(PlanBody body, Caller caller) {
    if (body.plan() == null || body.declaration() == null) {
      throw new RefusedException(
          Reason.MALFORMED_BODY, "The body needs a plan's id and a declaration.");
    }
    return new Command.ProposePlan(
        body.plan(), Optional.ofNullable(body.base()), body.declaration(), actorName(caller));
  }

  Mono<Void> confirm(Exchange exchange, String plan) {
    return authorize(exchange, KeyRole.OPERATOR)
        .flatMap(caller -> submit(new Command.ConfirmPlan(planId(plan), actorName(caller))))
        .flatMap(
            answer -> {
              CommandResult.Confirmed confirmed = (CommandResult.Confirmed) answer;
              return awaitInForce(confirmed.revision())
                  .map(
                      inForce ->
                          new Confirmation(
                              confirmed.plan(),
                              confirmed.version(),
                              confirmed.by(),
                              inForce.everywhere(),
                              inForce.missing()));
            })
        .flatMap(confirmation -> exchange.json(OK, confirmation));
  }

  private static PlanId planId(String text) {
    try {
      return new PlanId(text);
    } catch (IllegalArgumentException e) {
      throw new RefusedException(Reason.PLAN_UNKNOWN, e.getMessage());
    }
  }

  Mono<Void> createKey(Exchange exchange) {
    return authorize(exchange, KeyRole.OPERATOR)
        .flatMap(caller -> exchange.body(limits.bodyBytes()))
        .map(body -> Json.read(body, KeyBody.class))
        .flatMap(body -> submit(toCommand(body)))
        .flatMap(answer -> awaitLatest())
        .flatMap(effect -> exchange.json(OK, effect));
  }

  private static Command toCommand(KeyBody body) {
    if (body.digest() == null || body.organisation() == null || body.role() == null) {
      throw new RefusedException(
          Reason.MALFORMED_BODY, "The body needs a digest, an organisation and a role.");
    }
    String label = Optional.ofNullable(body.label()).orElse("");
    return new Command.CreateKey(body.digest(), body.organisation(), body.role(), label);
  }

  Mono<Void> withdrawKey(Exchange exchange, String digestPrefix) {
    return authorize(exchange, KeyRole.OPERATOR)
        .flatMap(caller -> submit(new Command.WithdrawKey(digestPrefix, actorName(caller))))
        .flatMap(answer -> awaitLatest())
        .flatMap(effect -> exchange.json(OK, effect));
  }

  Mono<Void> setLeaving(Exchange exchange) {
    return authorize(exchange, KeyRole.OPERATOR)
        .flatMap(
            caller ->
                exchange
                    .body(limits.bodyBytes())
                    .map(body -> Json.read(body, LeavingBody.class))
                    .map(
                        body ->
                            new Command.SetLeaving(
                                Optional.ofNullable(body.ids()).orElse(List.of()),
                                body.leaving(),
                                actorName(caller))))
        .flatMap(this::submit)
        .flatMap(answer -> awaitLatest())
        .flatMap(effect -> exchange.json(OK, effect));
  }

  /** Starts or ends the evacuation of a failure domain. */
  Mono<Void> evacuate(Exchange exchange, String domain, boolean starts) {
    return authorize(exchange, KeyRole.OPERATOR)
        .map(caller -> failureDomain(domain))
        .flatMap(
            named ->
                submit(
                    starts ? new Command.StartEvacuation(named) : new Command.EndEvacuation(named)))
        .flatMap(answer -> awaitInForce(((CommandResult.EvacuationStored) answer).revision()))
        .map(inForce -> new Effect(inForce.everywhere(), inForce.missing()))
        .flatMap(effect -> exchange.json(OK, effect));
  }

  private static FailureDomain failureDomain(String text) {
    try {
      return new FailureDomain(text);
    } catch (IllegalArgumentException e) {
      throw new RefusedException(Reason.MALFORMED_BODY, e.getMessage());
    }
  }

  /** Starts the shutdown of this VM and responds before it is complete. */
  Mono<Void> drain(Exchange exchange) {
    return authorize(exchange, KeyRole.OPERATOR)
        .doOnNext(caller -> drain.run())
        .flatMap(caller -> exchange.json(OK, new Effect(true, List.of())));
  }

  Mono<Void> status(Exchange exchange) {
    return authorize(exchange, KeyRole.VIEWER)
        .flatMap(caller -> ask(new ControlRequest.ReadReport()))
        .flatMap(report -> exchange.json(OK, report));
  }

  Mono<Void> usage(Exchange exchange) {
    return authorize(exchange, KeyRole.VIEWER)
        .flatMap(caller -> ask(new ControlRequest.ReadReport()))
        .flatMap(report -> exchange.json(OK, ((ControlReply.Report) report).windows()));
  }

  /** Responds with the outcome of a call of the caller's organisation. */
  Mono<Void> outcome(Exchange exchange, String key) {
    return authorize(exchange, KeyRole.CALLER)
        .flatMap(
            caller ->
                ask(
                    new ControlRequest.FindClaim(
                        caller.info().organisation(), ServiceHandler.parseKey(key))))
        .flatMap(
            found ->
                ((ControlReply.ClaimFound) found)
                    .claim()
                    .map(claim -> exchange.json(OK, OutcomeBody.of(claim)))
                    .orElseGet(() -> Mono.error(new RefusedException(Reason.OUTCOME_NOT_FOUND))));
  }

  private Mono<CommandResult> submit(Command command) {
    return ask(new ControlRequest.Submit(command))
        .map(reply -> ((ControlReply.SubmitReply) reply).result())
        .flatMap(
            answer ->
                answer instanceof CommandResult.Refused refused
                    ? Mono.error(new RefusedException(refused.reason(), refused.detail()))
                    : Mono.just(answer));
  }

  private Mono<ControlReply> ask(ControlRequest request) {
    return control
        .ask(request, limits.control())
        .onErrorMap(
            ControlException.class,
            error ->
                new RefusedException(
                    Reason.CONTROL_UNAVAILABLE,
                    "No control leader replied in time; a resend with the same id is safe."));
  }

  private Mono<Effect> awaitLatest() {
    return ask(new ControlRequest.ReadReport())
        .flatMap(report -> awaitInForce(((ControlReply.Report) report).revision()))
        .map(inForce -> new Effect(inForce.everywhere(), inForce.missing()));
  }

  private Mono<ControlReply.InForce> awaitInForce(long revision) {
    return control
        .ask(
            new ControlRequest.AwaitInForce(revision, IN_FORCE_TIMEOUT.toMillis()),
            IN_FORCE_TIMEOUT.plus(limits.control()))
        .cast(ControlReply.InForce.class)
        .onErrorReturn(new ControlReply.InForce(false, List.of()));
  }
}
