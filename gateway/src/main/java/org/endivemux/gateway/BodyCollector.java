package org.endivemux.gateway;

import org.endivemux.gateway.ResponseMemory.ResponseTooLargeException;
import org.endivemux.wire.ByteParts;

/**
 * Collects the parts of one response's body.
 *
 * <p>Invariant: the memory of each part is taken from the shared one before the part is kept. Not
 * thread-safe: used by one attempt.
 */
final class BodyCollector {
  private final ResponseMemory.Holding holding;
  private final int limit;
  private final ByteParts parts = new ByteParts();

  /**
   * @param limit maximum number of bytes of the body
   */
  BodyCollector(ResponseMemory.Holding holding, int limit) {
    this.holding = holding;
    this.limit = limit;
  }

  /** Adds a part; throws {@link ResponseTooLargeException} if there is no room for it. */
  void add(byte[] part) {
    if (part.length > limit - parts.size()) {
      throw new ResponseTooLargeException("The response is longer than " + limit + " bytes.");
    }
    holding.resize((long) parts.size() + part.length);
    parts.add(part);
  }

  /** Returns the whole body. */
  byte[] join() {
    return parts.join();
  }
}
