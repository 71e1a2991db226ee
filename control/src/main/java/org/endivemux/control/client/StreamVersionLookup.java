package org.endivemux.control.client;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import org.endivemux.control.message.ControlReply.StreamVersionFound;
import org.endivemux.control.message.ControlRequest.FindStreamVersion;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamOriginSource;
import reactor.core.publisher.Mono;

/**
 * Finds which software version began a stream that a caller resumes.
 *
 * <p>Invariant: an unknown version stays unknown; it is never concluded from the servers that are
 * listed now. Thread-safe.
 */
public final class StreamVersionLookup {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final StreamVersionFound UNKNOWN =
      new StreamVersionFound(Optional.empty(), StreamOriginSource.NONE);

  /** Callers leave soon when nothing is said; a leader in contact answers within some ms. */
  private static final Duration LIMIT = Duration.ofMillis(700);

  private final StreamLedger ledger;
  private final ControlClient control;

  /**
   * @param ledger the streams that this entry began
   */
  public StreamVersionLookup(StreamLedger ledger, ControlClient control) {
    this.ledger = ledger;
    this.control = control;
  }

  /** Returns the streams that this entry began. */
  public StreamLedger ledger() {
    return ledger;
  }

  /**
   * Finds the version; an empty one if it is not known.
   *
   * @param stream the stream, if the caller has named it
   * @param lifetimeMillis how long a stream of the request's route may last, resumptions included
   */
  public Mono<StreamVersionFound> find(
      ServiceName service, Optional<StreamKey> stream, long lifetimeMillis) {
    return Mono.defer(
        () ->
            stream
                .flatMap(key -> ledger.version(service, key))
                .map(version -> ownRecord(version))
                .map(Mono::just)
                .orElseGet(() -> ask(new FindStreamVersion(service, stream, lifetimeMillis))));
  }

  private static StreamVersionFound ownRecord(SoftwareVersion version) {
    return new StreamVersionFound(Optional.of(version), StreamOriginSource.OWN_RECORD);
  }

  private Mono<StreamVersionFound> ask(FindStreamVersion request) {
    return control
        .ask(request, LIMIT)
        .cast(StreamVersionFound.class)
        .onErrorResume(
            error -> {
              logger.atWarning().log("event=stream_version_not_asked cause=\"%s\"", error);
              return Mono.just(UNKNOWN);
            });
  }
}
