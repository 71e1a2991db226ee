package org.endivemux.control.state;

import org.endivemux.model.Incarnation;
import org.endivemux.model.RequestId;
import org.endivemux.model.VmId;

/** The one process and request that may send a claimed call. Immutable and thread-safe. */
public record ClaimOwner(VmId vm, Incarnation incarnation, RequestId request) {}
