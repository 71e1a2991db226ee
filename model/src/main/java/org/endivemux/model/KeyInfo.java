package org.endivemux.model;

/**
 * Holds what is known of a key beside its digest. Immutable and thread-safe.
 *
 * @param organisation the only organisation for which the key's requests run
 * @param label the operator's words; never part of the key
 */
public record KeyInfo(OrganisationId organisation, KeyRole role, boolean withdrawn, String label) {
  /** Returns the same key, withdrawn for good. */
  public KeyInfo withdraw() {
    return new KeyInfo(organisation, role, true, label);
  }
}
