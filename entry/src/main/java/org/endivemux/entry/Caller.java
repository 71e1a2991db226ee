package org.endivemux.entry;

import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;

/** Holds who sent a request: a key's digest and what is known of it. Immutable and thread-safe. */
record Caller(KeyDigest digest, KeyInfo info) {}
