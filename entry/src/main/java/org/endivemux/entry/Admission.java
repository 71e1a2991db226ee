package org.endivemux.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.model.DeclarationIndex;
import org.endivemux.model.KeyRole;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import reactor.core.publisher.Mono;

/**
 * Checks what must hold before an entry works on a request.
 *
 * <p>Invariant: nothing is decided by a view whose freshness is not proved. Thread-safe.
 */
final class Admission {
  static final String CLASS_HEADER = "x-endivemux-class";

  private final Authenticator authenticator;
  private final Supplier<DeclarationIndex> declared;
  private final BooleanSupplier isFresh;
  private final BooleanSupplier isOpen;

  Admission(
      Authenticator authenticator,
      Supplier<DeclarationIndex> declared,
      BooleanSupplier isFresh,
      BooleanSupplier isOpen) {
    this.authenticator = authenticator;
    this.declared = declared;
    this.isFresh = isFresh;
    this.isOpen = isOpen;
  }

  /** Returns why the entry takes no request at all, if so. */
  Optional<Reason> closed() {
    if (!isOpen.getAsBoolean()) {
      return Optional.of(Reason.DRAINING);
    }
    return isFresh.getAsBoolean() ? Optional.empty() : Optional.of(Reason.STALE_STATE);
  }

  /** Returns who sends a request; fails with a refusal when the entry may not work on it. */
  Mono<Caller> caller(Exchange exchange) {
    return closed()
        .<Either<Reason, Caller>>map(Either::left)
        .orElseGet(() -> authenticator.caller(exchange.request(), KeyRole.CALLER))
        .fold(reason -> Mono.error(new RefusedException(reason)), Mono::just);
  }

  /** Returns the declared route. */
  Either<Reason, Route> route(Route.Type type, String name) {
    Reason unknown = type == Route.Type.MODEL ? Reason.UNKNOWN_MODEL : Reason.UNKNOWN_SERVICE;
    return declared
        .get()
        .route(type, name)
        .<Either<Reason, Route>>map(Either::right)
        .orElseGet(() -> Either.left(unknown));
  }

  /** Returns the class of a request: the one that it asks for, or the route's own. */
  Either<Reason, RequestClass> classFor(
      OrganisationId organisation, Route route, Optional<String> asked) {
    return declared
        .get()
        .classFor(organisation, route, asked)
        .<Either<Reason, RequestClass>>map(Either::right)
        .orElseGet(() -> Either.left(Reason.UNKNOWN_CLASS));
  }
}
