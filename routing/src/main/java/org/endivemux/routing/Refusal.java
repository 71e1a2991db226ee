package org.endivemux.routing;

import org.endivemux.model.Reason;

/**
 * Holds a refusal of the scheduler. Immutable and thread-safe.
 *
 * @param retryAfterMillis after how long another try may succeed
 */
public record Refusal(Job job, Reason reason, long retryAfterMillis) {}
