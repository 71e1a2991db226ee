package org.endivemux.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.model.VmId;

/** Tests that cells are small and that membership is mutual. */
final class CellsTest {
  @Property(tries = 60, seed = "1")
  void cellsAreSmallAndMutual(@ForAll @IntRange(min = 1, max = 400) int size) {
    List<VmId> entries = IntStream.range(0, size).mapToObj(i -> new VmId("vm" + i)).toList();
    assertThat(entries)
        .allSatisfy(
            self -> {
              var peers = Cells.peersOf(self, entries);
              assertThat(peers).hasSizeLessThan(Cells.MAX_SIZE).doesNotContain(self);
              assertThat(peers)
                  .allSatisfy(peer -> assertThat(Cells.peersOf(peer, entries)).contains(self));
              assertThat(peers.size()).isGreaterThanOrEqualTo(Math.min(size, 4) - 1);
            });
  }
}
