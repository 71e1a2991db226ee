package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.VmId;
import org.endivemux.routing.Cells;
import org.endivemux.wire.MessagePackCodec;

/** Checks what an entry learns about the load of all other entries. */
final class FleetLoadTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int ENTRIES = 63;

  private static VmId vm(int number) {
    return new VmId("vm" + number);
  }

  @Property(tries = 30, seed = "41")
  void sumOfOthersIsExactHoweverOftenEntriesReport(@ForAll long seed) {
    Random random = new Random(seed);
    FleetLoad loads = new FleetLoad();
    int[] latest = new int[ENTRIES];
    IntStream.range(0, 1000)
        .forEach(
            round -> {
              int entry = round < ENTRIES ? round : random.nextInt(ENTRIES);
              latest[entry] = random.nextInt(5);
              List<InFlightAt> inFlight =
                  latest[entry] == 0
                      ? List.of()
                      : List.of(new InFlightAt(7, latest[entry], 100L * latest[entry]));
              loads.add(vm(entry), List.of(), inFlight, 0);
            });
    int all = IntStream.of(latest).sum();
    assertThat(requestsAt(loads, 7, 0)).isEqualTo(all - latest[0]);
  }

  private static int requestsAt(FleetLoad loads, int server, int asker) {
    return loads.inFlightOfOthers(vm(asker)).orElseThrow().stream()
        .filter(at -> at.server() == server)
        .mapToInt(InFlightAt::requests)
        .sum();
  }

  @Example
  void fewEntriesExchangeTheirLoadsDirectly() {
    FleetLoad loads = new FleetLoad();
    IntStream.range(0, Cells.MAX_SIZE)
        .forEach(entry -> loads.add(vm(entry), List.of(), List.of(new InFlightAt(1, 1, 0)), 0));
    assertThat(loads.inFlightOfOthers(vm(0))).isEmpty();
  }

  /** Engines crash when entries do not know of the memory that others' requests hold there. */
  @Example
  void heldTokensOfOthersAreSummed() {
    FleetLoad loads = new FleetLoad();
    IntStream.rangeClosed(0, Cells.MAX_SIZE)
        .forEach(entry -> loads.add(vm(entry), List.of(), List.of(new InFlightAt(1, 1, 0, 50)), 0));
    assertThat(loads.inFlightOfOthers(vm(0)).orElseThrow())
        .containsExactly(new InFlightAt(1, Cells.MAX_SIZE, 0, 50L * Cells.MAX_SIZE));
  }

  /** An older process sends three elements and must be able to read four. */
  @Example
  void heldTokensAreOptionalForTheReader() {
    byte[] older = MessagePackCodec.encode(List.of(1, 2, 3));
    assertThat(MessagePackCodec.decode(older, InFlightAt.class)).isEqualTo(new InFlightAt(1, 2, 3));
    byte[] newer = MessagePackCodec.encode(new InFlightAt(1, 2, 3, 4));
    assertThat(MessagePackCodec.decode(newer, OlderInFlightAt.class))
        .isEqualTo(new OlderInFlightAt(1, 2, 3));
  }

  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record OlderInFlightAt(int server, int requests, long unread) {}

  @Example
  void reportOfSilentEntryExpires() {
    FleetLoad loads = new FleetLoad();
    IntStream.range(0, ENTRIES)
        .forEach(entry -> loads.add(vm(entry), List.of(), List.of(new InFlightAt(1, 1, 0)), 0));
    IntStream.range(0, 10)
        .forEach(
            entry -> loads.add(vm(entry), List.of(), List.of(new InFlightAt(1, 1, 0)), 3 * SECOND));
    assertThat(requestsAt(loads, 1, 0)).isEqualTo(9);
  }
}
