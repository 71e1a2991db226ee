package org.endivemux.wire;

import org.endivemux.model.Incarnation;
import org.endivemux.model.VmId;

/** Identifies the process that opened a link. Immutable and thread-safe. */
public record Hello(int version, VmId vm, Incarnation incarnation) {
  /** Version of the protocol between VMs; both ends of a link must use the same version. */
  public static final int VERSION = 2;
}
