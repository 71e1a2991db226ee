package org.endivemux.model.crash;

import org.endivemux.model.PromptPartId;

/**
 * Tells that a response to a prompt with a suspected part was completed. Immutable and thread-safe.
 *
 * @param ageMillis time since the completion
 */
public record CompletedPart(PromptPartId part, long ageMillis) {}
