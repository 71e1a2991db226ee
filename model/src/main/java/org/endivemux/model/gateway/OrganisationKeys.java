package org.endivemux.model.gateway;

import java.util.List;
import java.util.OptionalInt;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.OrganisationId;

/**
 * Holds the keys of an organisation by their digests. Immutable and thread-safe.
 *
 * @param priority priority of its requests; overrides the route's
 */
public record OrganisationKeys(
    OrganisationId organisation, List<KeyDigest> keys, OptionalInt priority) {

  public OrganisationKeys {
    keys = List.copyOf(keys);
  }
}
