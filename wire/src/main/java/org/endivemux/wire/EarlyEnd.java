package org.endivemux.wire;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Ends fluxes before their sources do. Stateless and thread-safe. */
public final class EarlyEnd {
  private EarlyEnd() {}

  /**
   * Cancels the source and fails with the throwable that {@code failure} emits, unless the source
   * ends first. The operator {@code takeUntilOther} alone does not cancel its source when the other
   * one fails, so the source would go on unobserved.
   *
   * @param failure emits the throwable, or never ends
   */
  public static <T> Flux<T> failOn(Flux<T> source, Mono<? extends Throwable> failure) {
    return Flux.defer(
        () -> {
          AtomicReference<Throwable> cause = new AtomicReference<>();
          AtomicBoolean isComplete = new AtomicBoolean();
          Mono<T> end =
              Mono.defer(() -> isComplete.get() ? Mono.empty() : Mono.<T>error(cause.get()));
          return source
              .doOnComplete(() -> isComplete.set(true))
              .takeUntilOther(failure.doOnNext(cause::set))
              .concatWith(end);
        });
  }
}
