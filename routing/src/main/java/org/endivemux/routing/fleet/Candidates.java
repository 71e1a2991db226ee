package org.endivemux.routing.fleet;

import java.util.List;

/**
 * Holds the servers among which the server of one job is selected. Immutable.
 *
 * @param withRoom servers that may be sent the job now
 * @param listed servers that determine which ones are preferred for shared prompt parts; with
 *     overload protection also those without room, since otherwise shared parts would be prefilled
 *     again at other servers whenever the preferred ones are busy
 * @param paced cold servers with room, which are always compared, since only a few entries may send
 *     them requests
 */
record Candidates(List<ServerLoad> withRoom, List<ServerLoad> listed, List<ServerLoad> paced) {
  Candidates {
    withRoom = List.copyOf(withRoom);
    listed = List.copyOf(listed);
    paced = List.copyOf(paced);
  }
}
