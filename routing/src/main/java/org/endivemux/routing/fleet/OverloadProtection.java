package org.endivemux.routing.fleet;

import java.util.function.IntSupplier;

/**
 * Says whether a scheduler protects urgent requests when capacity is short. Immutable.
 *
 * @param enabled whether {@link EngineAdmission} decides which jobs an engine is sent
 * @param entries returns the number of entries that share the engines, at least 1
 */
public record OverloadProtection(boolean enabled, IntSupplier entries) {
  /** Returns the options of a deployment that does not ask for protection. */
  public static OverloadProtection off() {
    return new OverloadProtection(false, () -> 1);
  }
}
