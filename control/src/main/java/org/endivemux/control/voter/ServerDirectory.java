package org.endivemux.control.voter;

import java.util.List;
import java.util.Optional;
import org.endivemux.model.gateway.GatewayServer;

/**
 * Keeps the platform's list of backend servers as one leader last read it.
 *
 * <p>Soft state: a new term starts without a list. Invariant: a number stands for one list. Thread-
 * safe.
 */
public final class ServerDirectory {
  private static final long NUMBERS_PER_TERM = 1_000_000L;

  private List<GatewayServer> servers = List.of();
  private long term = -1;
  private long changes;

  /** Takes over a list; returns whether it differs from the one before. */
  synchronized boolean replace(long newTerm, List<GatewayServer> read) {
    boolean changed = newTerm != term || !servers.equals(read);
    if (changed) {
      changes = newTerm == term ? changes + 1 : 1;
      term = newTerm;
      servers = List.copyOf(read);
    }
    return changed;
  }

  /** Returns the number of the present list of a term; 0 while it has none. */
  synchronized long number(long ofTerm) {
    return ofTerm == term ? term * NUMBERS_PER_TERM + changes : 0;
  }

  /** Returns the list of a term when its number is not the one that the asker has. */
  synchronized Optional<List<GatewayServer>> unless(long ofTerm, long knownNumber) {
    long number = number(ofTerm);
    return number == 0 || number == knownNumber ? Optional.empty() : Optional.of(servers);
  }

  /** Returns the present list. */
  public synchronized List<GatewayServer> servers() {
    return servers;
  }
}
