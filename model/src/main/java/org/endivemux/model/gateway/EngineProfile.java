package org.endivemux.model.gateway;

/**
 * Describes the model engines of a service. Immutable and thread-safe.
 *
 * @param slots requests that one engine batches
 * @param memoryTokens tokens of prompts and answers that one engine's memory holds
 * @param tokensPerEvent tokens of one event of a stream
 */
public record EngineProfile(int slots, long memoryTokens, int tokensPerEvent) {}
