package org.endivemux.routing.fleet;

/**
 * Holds one part of a prompt, which other prompts may share. Immutable and thread-safe.
 *
 * @param id the same for the same content
 */
public record PromptPart(String id, int tokens) {}
