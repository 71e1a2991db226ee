package org.endivemux.model;

/**
 * Holds cumulative usage of one organisation in one class; it never decreases in one incarnation.
 *
 * <p>Immutable and thread-safe.
 */
public record UsageTotals(long requests, long promptTokens, long answerTokens) {
  /** Returns zero totals. */
  public static UsageTotals zero() {
    return new UsageTotals(0, 0, 0);
  }

  /** Returns the sum of both totals. */
  public UsageTotals plus(UsageTotals other) {
    return new UsageTotals(
        requests + other.requests,
        promptTokens + other.promptTokens,
        answerTokens + other.answerTokens);
  }

  /** Returns the increase since earlier totals; never negative. */
  public UsageTotals since(UsageTotals earlier) {
    return new UsageTotals(
        Math.max(0, requests - earlier.requests),
        Math.max(0, promptTokens - earlier.promptTokens),
        Math.max(0, answerTokens - earlier.answerTokens));
  }
}
