package org.endivemux.model;

/**
 * Describes what a VM gives its entry, so that callers can be spread by it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param cores processor share of the VM, in cores
 * @param linkMbps bandwidth of the VM's link, in Mbit/s
 */
public record EntryCapacity(double cores, double linkMbps) {
  /** Throws {@link IllegalArgumentException} unless both figures are positive. */
  public EntryCapacity {
    if (!(cores > 0 && linkMbps > 0)) {
      throw new IllegalArgumentException(
          "An entry's cores and link bandwidth must be positive: " + cores + ", " + linkMbps + ".");
    }
  }
}
