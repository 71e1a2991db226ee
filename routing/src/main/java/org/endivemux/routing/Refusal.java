package org.endivemux.routing;

import org.endivemux.model.Reason;

/**
 * Holds a job that the scheduler refuses, and the reason. Immutable and thread-safe.
 *
 * @param retryAfterMillis time after which another attempt may succeed
 */
public record Refusal(Job job, Reason reason, long retryAfterMillis) {}
