package org.endivemux.entry;

import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;

/** Identifies the sender of a request by its key's digest and metadata. Immutable, thread-safe. */
record Caller(KeyDigest digest, KeyInfo info) {}
