package org.endivemux.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.ClassName;

/** Tests how many retries a class may have. */
final class RetryBudgetTest {
  private static final ClassName CHAT = new ClassName("chat");

  private final RetryBudget budget = new RetryBudget();

  @Example
  void firstRequestOfAClassMayBeRetried() {
    budget.recordRequest(CHAT);
    assertThat(budget.tryRetry(CHAT)).isTrue();
  }

  @Example
  void retriesStayAFifthOfRequestsOnceTheReserveIsUsed() {
    IntStream.range(0, 10).forEach(i -> assertThat(budget.tryRetry(CHAT)).isTrue());
    assertThat(budget.tryRetry(CHAT)).isFalse();
    IntStream.range(0, 5).forEach(i -> budget.recordRequest(CHAT));
    assertThat(budget.tryRetry(CHAT)).isTrue();
    assertThat(budget.tryRetry(CHAT)).isFalse();
  }
}
