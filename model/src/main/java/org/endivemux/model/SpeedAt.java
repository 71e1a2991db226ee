package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Holds what entries have measured of the speed of one backend server, as sums over samples.
 *
 * <p>Sums of several entries add up to the sums over all of their samples. Immutable and
 * thread-safe.
 *
 * @param server tag of the backend server's id, see {@link InFlightAt#tag}
 * @param samples number of samples
 * @param speedSum sum of 100 times the natural logarithm of the speed, where usual speed is 1 and
 *     the slowdown that the server reported at the time is taken out
 * @param workSum sum of the reported percentages of usual working time
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SpeedAt(int server, int samples, long speedSum, long workSum) {
  /**
   * Maximum number of servers in one message, which bounds their share of a poll and of its reply
   * to about 600 B.
   */
  public static final int MAX_PER_MESSAGE = 32;

  /** Returns the sum of the samples of two entries at one server. */
  public SpeedAt plus(SpeedAt other) {
    return new SpeedAt(
        server, samples + other.samples, speedSum + other.speedSum, workSum + other.workSum);
  }

  /** Returns what takes these samples out of a sum. */
  public SpeedAt negated() {
    return new SpeedAt(server, -samples, -speedSum, -workSum);
  }
}
