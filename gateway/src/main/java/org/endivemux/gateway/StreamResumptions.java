package org.endivemux.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.endivemux.control.client.StreamVersionLookup;
import org.endivemux.control.message.ControlReply.StreamVersionFound;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import reactor.core.publisher.Mono;

/**
 * Decides at which version a stream goes on that a caller resumes with a new attempt.
 *
 * <p>Invariant: a stream whose version is not known is refused before anything is sent. Immutable
 * and thread-safe.
 */
final class StreamResumptions {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String UNKNOWN = "unknown";

  private final StreamVersionLookup versions;

  StreamResumptions(StreamVersionLookup versions) {
    this.versions = versions;
  }

  /**
   * Finds which version began the stream that a request resumes, and binds its progress to it;
   * fails with {@link GatewayRefusal} if that is not known. Does nothing for other requests.
   */
  Mono<Void> findOrigin(AdmittedRequest request, Progress progress) {
    if (!request.isResumption()) {
      return Mono.empty();
    }
    Optional<StreamKey> stream = request.head().resumedAttempt().map(StreamKey::of);
    return versions
        .find(request.service(), stream, request.streamLifetimeMillis())
        .flatMap(found -> resume(request, progress, found));
  }

  private static Mono<Void> resume(
      AdmittedRequest request, Progress progress, StreamVersionFound found) {
    logger.atInfo().log(
        "event=stream_resumption request=%s resumes=%s after=%d software=%s source=%s",
        request.head().id(),
        request.head().resumedAttempt().orElse("unnamed"),
        request.head().resumeAfter().orElse(0),
        text(found.version()),
        found.source());
    if (found.version().isEmpty()) {
      return Mono.error(
          new GatewayRefusal(
              Reason.STREAM_VERSION_UNKNOWN,
              ServerPool.retryAfterMillis(new RequestId(request.head().id()))));
    }
    progress.resumes(found.version().get());
    return Mono.empty();
  }

  /** Logs why a stream in progress is broken, which its final reason does not tell. */
  static void logIfVersionGone(AdmittedRequest request, Progress progress, Throwable error) {
    if (error instanceof GatewayRefusal refusal && refusal.reason() == Reason.STREAM_VERSION_GONE) {
      logger.atInfo().log(
          "event=stream_version_gone request=%s software=%s",
          request.head().id(), text(progress.origin().flatMap(StreamOrigin::version)));
    }
  }

  private static String text(Optional<SoftwareVersion> version) {
    return version.map(SoftwareVersion::value).orElse(UNKNOWN);
  }
}
