package org.endivemux.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.endivemux.control.state.EntryView;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;
import org.endivemux.model.KeyRole;
import org.endivemux.model.Keys;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Identifies the caller of a request by its key alone.
 *
 * <p>Invariants: an organisation named elsewhere in a request is ignored; each request is checked
 * against the latest view; plain-text keys never leave this class. Thread-safe.
 */
final class Authenticator {
  private static final String SCHEME = "bearer ";
  private static final int MAX_KEY_LENGTH = 256;
  private static final KeyInfo BOOTSTRAP =
      new KeyInfo(new OrganisationId("operators"), KeyRole.OPERATOR, false, "from settings");

  private final Supplier<EntryView> view;
  private final Optional<KeyDigest> bootstrapOperator;

  Authenticator(Supplier<EntryView> view, Optional<KeyDigest> bootstrapOperator) {
    this.view = view;
    this.bootstrapOperator = bootstrapOperator;
  }

  /** Returns the caller, or why the request is not authenticated. */
  Either<Reason, Caller> caller(HttpServerRequest request) {
    return key(request.requestHeaders())
        .flatMap(
            key -> isKeyElsewhere(request, key) ? Either.left(Reason.KEY_IN_REQUEST) : lookUp(key));
  }

  /** Returns the caller if its key's role includes the required one, or the reason for refusal. */
  Either<Reason, Caller> caller(HttpServerRequest request, KeyRole needed) {
    return caller(request)
        .filterOrElse(
            caller -> caller.info().role().includes(needed), caller -> Reason.ROLE_NOT_ALLOWED);
  }

  private static Either<Reason, String> key(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
    boolean bearer = value.toLowerCase(Locale.ROOT).startsWith(SCHEME);
    String key = bearer ? value.substring(SCHEME.length()).strip() : "";
    return key.isEmpty() || key.length() > MAX_KEY_LENGTH
        ? Either.left(Reason.NO_KEY)
        : Either.right(key);
  }

  private static boolean isKeyElsewhere(HttpServerRequest request, String key) {
    boolean inHeaders =
        request.requestHeaders().entries().stream()
            .filter(
                header -> !HttpHeaderNames.AUTHORIZATION.contentEqualsIgnoreCase(header.getKey()))
            .map(Map.Entry::getValue)
            .anyMatch(value -> value.contains(key));
    return inHeaders || request.uri().contains(key);
  }

  private Either<Reason, Caller> lookUp(String key) {
    KeyDigest digest = Keys.digest(key);
    if (bootstrapOperator.filter(digest::equals).isPresent()) {
      return Either.right(new Caller(digest, BOOTSTRAP));
    }
    return view.get()
        .key(digest)
        .map(info -> unlessWithdrawn(digest, info))
        .orElseGet(() -> Either.left(Reason.WRONG_KEY));
  }

  private static Either<Reason, Caller> unlessWithdrawn(KeyDigest digest, KeyInfo info) {
    return info.withdrawn()
        ? Either.left(Reason.KEY_WITHDRAWN)
        : Either.right(new Caller(digest, info));
  }

  /** Returns whether a known key has been withdrawn. */
  boolean isWithdrawn(KeyDigest digest) {
    return view.get().key(digest).filter(KeyInfo::withdrawn).isPresent();
  }
}
