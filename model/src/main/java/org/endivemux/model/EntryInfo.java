package org.endivemux.model;

/**
 * Holds what callers and peers need to know of an entry. Immutable and thread-safe.
 *
 * @param httpAddress where callers connect, as IP number and port
 * @param peerAddress where other VMs connect, as IP number and port
 * @param serving false once the entry drains
 */
public record EntryInfo(
    VmId vm,
    Incarnation incarnation,
    FailureDomain failureDomain,
    String httpAddress,
    String peerAddress,
    boolean serving) {}
