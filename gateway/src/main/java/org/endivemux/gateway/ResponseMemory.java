package org.endivemux.gateway;

import java.util.HashMap;
import java.util.Map;
import org.endivemux.model.gateway.ServiceName;

/**
 * Shares the memory for responses of backend servers that are not complete yet.
 *
 * <p>Invariants: all responses together hold at most the capacity; no service takes more than what
 * is left free, so that one service's servers cannot use up the room of another service.
 * Thread-safe.
 */
final class ResponseMemory {
  private final long capacity;
  private final Map<ServiceName, Long> heldByService = new HashMap<>();
  private long held;

  /**
   * @param capacity number of bytes
   */
  ResponseMemory(long capacity) {
    this.capacity = capacity;
  }

  /** Returns a new holding, without any bytes, for one response of a service. */
  Holding holding(ServiceName service) {
    return new Holding(service);
  }

  private synchronized boolean tryTake(ServiceName service, long bytes) {
    long ofService = heldByService.getOrDefault(service, 0L) + bytes;
    if (ofService > capacity - held) {
      return false;
    }
    heldByService.put(service, ofService);
    held += bytes;
    return true;
  }

  private synchronized void giveBack(ServiceName service, long bytes) {
    heldByService.computeIfPresent(service, (name, of) -> of > bytes ? of - bytes : null);
    held -= bytes;
  }

  /** The bytes that one response holds. Not thread-safe: used by one attempt. */
  final class Holding {
    private final ServiceName service;
    private long bytes;

    private Holding(ServiceName service) {
      this.service = service;
    }

    /**
     * Changes how many bytes are held.
     *
     * @throws ResponseTooLargeException if there is no room for them
     */
    void resize(long newBytes) {
      long more = newBytes - bytes;
      if (more > 0 && !tryTake(service, more)) {
        throw new ResponseTooLargeException(
            "Responses of " + service + " take more memory than there is for them.");
      }
      if (more < 0) {
        giveBack(service, -more);
      }
      bytes = newBytes;
    }

    void release() {
      resize(0);
    }
  }

  /** Signals a response that cannot be held in memory. Immutable. */
  static final class ResponseTooLargeException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ResponseTooLargeException(String message) {
      super(message, null, false, false);
    }
  }
}
