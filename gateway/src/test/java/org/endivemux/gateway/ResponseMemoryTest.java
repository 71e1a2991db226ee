package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.gateway.ResponseMemory.Holding;
import org.endivemux.gateway.ResponseMemory.ResponseTooLargeException;
import org.endivemux.model.gateway.ServiceName;

/** Checks that responses share a bounded memory and that no service takes that of another. */
final class ResponseMemoryTest {
  private static final int CAPACITY = 1000;
  private static final ServiceName FAULTY = new ServiceName("faulty");
  private static final ServiceName SOUND = new ServiceName("sound");

  private ResponseMemory memory = new ResponseMemory(CAPACITY);

  /** Returns how many bytes a service can take in steps of ten. */
  private long fill(ServiceName service) {
    Holding holding = memory.holding(service);
    for (long bytes = 10; ; bytes += 10) {
      try {
        holding.resize(bytes);
      } catch (ResponseTooLargeException e) {
        return bytes - 10;
      }
    }
  }

  /**
   * Guards against sales of one service that get no answer because of another service's servers.
   */
  @Example
  void endlessResponsesOfOneServiceLeaveRoomForAnother() {
    assertThat(fill(FAULTY)).isEqualTo(CAPACITY / 2);
    assertThat(fill(SOUND)).isGreaterThanOrEqualTo(CAPACITY / 4 - 10);
  }

  @Example
  void endedResponsesGiveTheirMemoryBack() {
    Holding holding = memory.holding(FAULTY);
    holding.resize(500);
    assertThatThrownBy(() -> holding.resize(600)).isInstanceOf(ResponseTooLargeException.class);
    holding.release();
    assertThat(fill(FAULTY)).isEqualTo(CAPACITY / 2);
  }

  /** Guards against memory that grows with the number of responses at once. */
  @Property(tries = 100)
  void responsesTogetherNeverHoldMoreThanTheCapacity(@ForAll long seed) {
    memory = new ResponseMemory(CAPACITY);
    Random random = new Random(seed);
    List<Holding> holdings = new ArrayList<>();
    long[] held = new long[30];
    for (int i = 0; i < held.length; i++) {
      holdings.add(memory.holding(new ServiceName("s" + i % 3)));
    }
    for (int step = 0; step < 500; step++) {
      int i = random.nextInt(held.length);
      long bytes = random.nextInt(4) == 0 ? 0 : random.nextInt(300);
      try {
        holdings.get(i).resize(bytes);
        held[i] = bytes;
      } catch (ResponseTooLargeException e) {
        assertThat(bytes).isGreaterThan(held[i]);
      }
      assertThat(Arrays.stream(held).sum()).isLessThanOrEqualTo(CAPACITY);
    }
    holdings.forEach(Holding::release);
    assertThat(fill(FAULTY)).isEqualTo(CAPACITY / 2);
  }
}
