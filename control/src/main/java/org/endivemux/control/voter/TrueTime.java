package org.endivemux.control.voter;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.endivemux.model.VmId;

/**
 * Estimates true time as the median of the wall clocks of this VM and of the entries.
 *
 * <p>Invariant: the estimate advances with the monotonic clock, so a step of fewer than half of the
 * wall clocks moves it by no more than the other clocks differ. Thread-safe.
 */
public final class TrueTime {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** An entry that has sent nothing for this long is left out. */
  private static final long SAMPLE_EXPIRY_NANOS = 5_000 * NANOS_PER_MILLI;

  private final Clocks clocks;
  private final Map<VmId, Sample> samples = new HashMap<>();

  public TrueTime(Clocks clocks) {
    this.clocks = clocks;
  }

  /** Records the wall-clock time in a message that was just received from a VM. */
  synchronized void observed(VmId vm, long wallMillis) {
    long now = clocks.nanos();
    samples.put(vm, new Sample(wallMillis - now / NANOS_PER_MILLI, now));
    samples.values().removeIf(sample -> now - sample.at() > SAMPLE_EXPIRY_NANOS);
  }

  /** Returns the estimate in Unix milliseconds. */
  public synchronized long millis() {
    long monotonicMillis = clocks.nanos() / NANOS_PER_MILLI;
    long ownOffset = clocks.millis() - monotonicMillis;
    long[] offsets =
        Stream.concat(Stream.of(ownOffset), samples.values().stream().map(Sample::offsetMillis))
            .mapToLong(Long::longValue)
            .sorted()
            .toArray();
    return monotonicMillis + offsets[(offsets.length - 1) / 2];
  }

  private record Sample(long offsetMillis, long at) {}
}
