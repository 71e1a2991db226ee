package org.endivemux.routing.fleet;

import java.util.List;
import java.util.Optional;
import org.endivemux.model.RequestId;

/**
 * Samples a server of a job in proportion to the usual speed of each server.
 *
 * <p>The usual speed is used instead of the present one: entries that all sampled the server that
 * is fastest now would make it the slowest. Stateless and thread-safe.
 */
final class SpeedSample {
  private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final double UNIT = 0x1p-53;
  private static final int UNIT_SHIFT = 11;
  private static final int MIX_SHIFT = 32;

  private SpeedSample() {}

  /** Returns the server of one draw, the same for the same job, or empty if there are none. */
  static Optional<ServerLoad> of(RequestId job, int draw, List<ServerLoad> servers) {
    double rest = fraction(job, draw) * servers.stream().mapToDouble(SpeedSample::weight).sum();
    for (ServerLoad server : servers) {
      rest -= weight(server);
      if (rest < 0) {
        return Optional.of(server);
      }
    }
    return servers.stream().findFirst();
  }

  private static double weight(ServerLoad load) {
    return load.speed().usual();
  }

  private static double fraction(RequestId job, int draw) {
    long mixed = (job.hashCode() * 31L + draw) * MULTIPLIER;
    mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MULTIPLIER;
    return ((mixed ^ (mixed >>> MIX_SHIFT)) >>> UNIT_SHIFT) * UNIT;
  }
}
