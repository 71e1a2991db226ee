package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Holds the load that one entry has in flight at one backend server, in a compact form.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server tag of the backend server's id, see {@link #tag}
 * @param requests attempts that have not ended
 * @param pendingPrefillTokens prompt tokens of these attempts that are not prefilled yet
 * @param heldTokens tokens of engine memory that these attempts may take; 0 from an older process
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record InFlightAt(
    int server,
    int requests,
    @JsonProperty("unread") long pendingPrefillTokens,
    @JsonProperty("held") long heldTokens) {
  private static final int TAG_MASK = 0xFFFF;

  /** Creates the load of attempts whose memory is not known. */
  public InFlightAt(int server, int requests, long pendingPrefillTokens) {
    this(server, requests, pendingPrefillTokens, 0);
  }

  /** Returns a 16-bit hash of an id; ids may collide, so it must only be used for load hints. */
  public static int tag(BackendServerId id) {
    int hash = id.value().hashCode() * 0x9E3779B9;
    return (hash ^ (hash >>> 16)) & TAG_MASK;
  }
}
