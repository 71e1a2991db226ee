package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Holds what one entry has in flight at one backend server, in few bytes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server tag of the backend server's id
 * @param requests tries that have not ended
 * @param pendingPrefillTokens prompt tokens that the backend server has not prefilled yet for them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record InFlightAt(int server, int requests, @JsonProperty("unread") long pendingPrefillTokens) {
  private static final int TAG_MASK = 0xFFFF;

  /** Returns a short tag of an id; two ids may share one, so it is good for hints only. */
  public static int tag(BackendServerId id) {
    int hash = id.value().hashCode() * 0x9E3779B9;
    return (hash ^ (hash >>> 16)) & TAG_MASK;
  }
}
