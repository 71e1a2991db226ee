package org.endivemux.model;

/**
 * Holds running totals of one organisation in one class; they only grow within one incarnation.
 *
 * <p>Immutable and thread-safe.
 */
public record UsageTotals(long requests, long promptTokens, long answerTokens) {
  /** Returns totals of nothing. */
  public static UsageTotals zero() {
    return new UsageTotals(0, 0, 0);
  }

  /** Returns the sum of both. */
  public UsageTotals plus(UsageTotals other) {
    return new UsageTotals(
        requests + other.requests,
        promptTokens + other.promptTokens,
        answerTokens + other.answerTokens);
  }

  /** Returns the growth since earlier totals; never negative. */
  public UsageTotals since(UsageTotals earlier) {
    return new UsageTotals(
        Math.max(0, requests - earlier.requests),
        Math.max(0, promptTokens - earlier.promptTokens),
        Math.max(0, answerTokens - earlier.answerTokens));
  }
}
