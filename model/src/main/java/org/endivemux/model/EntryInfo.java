package org.endivemux.model;

/**
 * Describes an entry to callers and peers. Immutable and thread-safe.
 *
 * @param httpAddress IP address and port for callers
 * @param peerAddress IP address and port for other VMs
 * @param serving whether callers may be directed to the entry; false once it drains
 */
public record EntryInfo(
    VmId vm,
    Incarnation incarnation,
    FailureDomain failureDomain,
    String httpAddress,
    String peerAddress,
    boolean serving) {}
