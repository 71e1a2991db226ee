package org.endivemux.model;

/**
 * Holds the metadata of a key. Immutable and thread-safe.
 *
 * @param organisation the only organisation that the key can act for
 * @param label the operator's description; contains no part of the key
 */
public record KeyInfo(OrganisationId organisation, KeyRole role, boolean withdrawn, String label) {
  /** Returns the metadata of the same key, marked as permanently withdrawn. */
  public KeyInfo withdraw() {
    return new KeyInfo(organisation, role, true, label);
  }
}
