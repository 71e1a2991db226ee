package org.endivemux.control.voter;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.endivemux.model.VmId;

/**
 * Estimates true time as the median of the clocks of this VM and of the entries.
 *
 * <p>Each VM reports its {@link SteadyWallClock}, so that steps of wall clocks move nothing while
 * the processes run. Invariant: the estimate advances with the monotonic clock, and fewer than half
 * of the VMs that start with a wrong clock move it by no more than the other clocks differ.
 * Thread-safe.
 */
public final class TrueTime {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** An entry that has sent nothing for this long is left out. */
  private static final long SAMPLE_EXPIRY_NANOS = 5_000 * NANOS_PER_MILLI;

  private final Clocks clocks;
  private final SteadyWallClock own;
  private final Map<VmId, Sample> samples = new HashMap<>();

  public TrueTime(Clocks clocks) {
    this.clocks = clocks;
    this.own = new SteadyWallClock(clocks);
  }

  /** Records the time that a VM reports in a message that was just received. */
  synchronized void observed(VmId vm, long wallMillis) {
    long now = clocks.nanos();
    samples.put(vm, new Sample(wallMillis - now / NANOS_PER_MILLI, now));
    samples.values().removeIf(sample -> now - sample.at() > SAMPLE_EXPIRY_NANOS);
  }

  /** Returns the estimate in Unix milliseconds. */
  public synchronized long millis() {
    long monotonicMillis = clocks.nanos() / NANOS_PER_MILLI;
    long ownOffset = own.millis() - monotonicMillis;
    long[] offsets =
        Stream.concat(Stream.of(ownOffset), samples.values().stream().map(Sample::offsetMillis))
            .mapToLong(Long::longValue)
            .sorted()
            .toArray();
    return monotonicMillis + offsets[(offsets.length - 1) / 2];
  }

  private record Sample(long offsetMillis, long at) {}
}
