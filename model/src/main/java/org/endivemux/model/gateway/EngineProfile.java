package org.endivemux.model.gateway;

/**
 * Describes the model engines of a service. Immutable and thread-safe.
 *
 * @param slots requests that one engine processes concurrently in a batch
 * @param memoryTokens prompt and response tokens that fit into one engine's memory
 * @param tokensPerEvent tokens in each event of a stream
 */
public record EngineProfile(int slots, long memoryTokens, int tokensPerEvent) {}
