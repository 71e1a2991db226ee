package org.endivemux.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.endivemux.control.client.ViewFollower;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.model.DeclarationIndex;
import org.endivemux.model.KeyRole;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import reactor.core.publisher.Mono;

/**
 * Decides whether an entry may process a request, and resolves its route and class.
 *
 * <p>Invariant: no decision is based on a view that is not proved to be fresh. Thread-safe.
 */
final class Admission {
  static final String CLASS_HEADER = "x-endivemux-class";

  private final Authenticator authenticator;
  private final Supplier<DeclarationIndex> declared;
  private final ViewFollower follower;
  private final BooleanSupplier isOpen;

  Admission(
      Authenticator authenticator,
      Supplier<DeclarationIndex> declared,
      ViewFollower follower,
      BooleanSupplier isOpen) {
    this.authenticator = authenticator;
    this.declared = declared;
    this.follower = follower;
    this.isOpen = isOpen;
  }

  /** Returns why the entry refuses all requests, or empty when it accepts them. */
  Optional<Reason> closedReason() {
    if (!isOpen.getAsBoolean()) {
      return Optional.of(Reason.DRAINING);
    }
    return follower.isFresh() ? Optional.empty() : Optional.of(Reason.STALE_STATE);
  }

  /**
   * Returns the caller of a request, after a wait if the proof of fresh state has just expired;
   * fails with a refusal when the entry may not process the request.
   */
  Mono<Caller> caller(Exchange exchange) {
    return follower.awaitFresh().flatMap(fresh -> callerNow(exchange));
  }

  private Mono<Caller> callerNow(Exchange exchange) {
    return closedReason()
        .<Either<Reason, Caller>>map(Either::left)
        .orElseGet(() -> authenticator.caller(exchange.request(), KeyRole.CALLER))
        .fold(reason -> Mono.error(new RefusedException(reason)), Mono::just);
  }

  /** Returns the declared route, or why there is none. */
  Either<Reason, Route> route(Route.Type type, String name) {
    Reason unknown = type == Route.Type.MODEL ? Reason.UNKNOWN_MODEL : Reason.UNKNOWN_SERVICE;
    return declared
        .get()
        .route(type, name)
        .<Either<Reason, Route>>map(Either::right)
        .orElseGet(() -> Either.left(unknown));
  }

  /** Returns the class of a request: the requested one when allowed, or the route's default. */
  Either<Reason, RequestClass> classFor(
      OrganisationId organisation, Route route, Optional<String> asked) {
    return declared
        .get()
        .classFor(organisation, route, asked)
        .<Either<Reason, RequestClass>>map(Either::right)
        .orElseGet(() -> Either.left(Reason.UNKNOWN_CLASS));
  }
}
