package org.endivemux.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Checks that bodies wait for room, in order, and give it back however they end. */
final class ByteBudgetTest {
  private final ByteBudget budget = new ByteBudget(10);
  private final List<String> began = new ArrayList<>();

  private Disposable use(String name, long bytes, Mono<Void> until) {
    return budget
        .use(bytes, Mono.fromRunnable(() -> began.add(name)).then(until))
        .onErrorComplete()
        .subscribe();
  }

  /** Guards against bodies that exhaust the memory together. */
  @Example
  void laterBodiesWaitForRoomInOrder() {
    Sinks.Empty<Void> first = Sinks.empty();
    use("a", 8, first.asMono());
    use("b", 8, Mono.never());
    use("c", 1, Mono.never());
    assertThat(began).containsExactly("a");
    var unused = first.tryEmitEmpty();
    assertThat(began).containsExactly("a", "b", "c");
  }

  @Example
  void roomIsGivenBackAfterErrorAndCancellation() {
    use("a", 10, Mono.error(new IllegalStateException("failed")));
    Disposable running = use("b", 10, Mono.never());
    Disposable waiting = use("c", 10, Mono.never());
    use("d", 10, Mono.never());
    waiting.dispose();
    running.dispose();
    assertThat(began).containsExactly("a", "b", "d");
  }

  @Example
  void nothingIsTakenBeyondTheCapacity() {
    assertThat(budget.tryTake(6)).isTrue();
    assertThat(budget.tryTake(5)).isFalse();
    budget.giveBack(6);
    assertThat(budget.tryTake(5)).isTrue();
  }
}
