package org.endivemux.model;

import java.util.Optional;

/**
 * Describes an entry to callers and peers. Immutable and thread-safe.
 *
 * @param httpAddress IP address and port for callers
 * @param peerAddress IP address and port for other VMs
 * @param serving whether callers may be directed to the entry; false once it drains
 * @param capacity what the VM gives the entry; empty if its settings do not say
 */
public record EntryInfo(
    VmId vm,
    Incarnation incarnation,
    FailureDomain failureDomain,
    String httpAddress,
    String peerAddress,
    boolean serving,
    Optional<EntryCapacity> capacity) {
  public EntryInfo {
    // A process of an earlier version does not send it.
    capacity = capacity == null ? Optional.empty() : capacity;
  }

  /** Describes an entry whose settings do not state its capacity. */
  public EntryInfo(
      VmId vm,
      Incarnation incarnation,
      FailureDomain failureDomain,
      String httpAddress,
      String peerAddress,
      boolean serving) {
    this(vm, incarnation, failureDomain, httpAddress, peerAddress, serving, Optional.empty());
  }
}
