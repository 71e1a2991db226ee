package org.endivemux.wire.http;

/**
 * Is told what servers do wrong on the connections of a client.
 *
 * <p>Implementations are thread-safe and do not block; they are called on event loops.
 */
public interface ExchangeListener {
  /** Called when bytes that belong to no request have been dropped. */
  void strayBytes(StrayBytes bytes);

  /** Called once for each response that is not passed on, or not to its end. */
  void responseFault(ResponseFault fault);
}
