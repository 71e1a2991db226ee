package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.endivemux.consensus.BootstrapConfig;
import org.endivemux.consensus.Effects;
import org.endivemux.consensus.Envelope;
import org.endivemux.consensus.Membership;
import org.endivemux.consensus.Snapshot;
import org.endivemux.consensus.Timing;
import org.endivemux.model.Bytes;
import org.endivemux.model.VmId;
import org.endivemux.storage.DataFolder;
import org.endivemux.storage.StorageException;
import org.endivemux.storage.WriteFailureHandler;
import org.endivemux.wire.MessagePackCodec;

/** Checks that a voter that has lost a thread, or cannot read its data, does not run on. */
final class VoterErrorTest {
  private static final int LIMIT_SECONDS = 60;
  private static final VmId SELF = new VmId("127.0.0.1:1");
  private static final Set<VmId> FOUNDERS =
      Set.of(SELF, new VmId("127.0.0.1:2"), new VmId("127.0.0.1:3"));

  private final BlockingQueue<String> threadsOfFatalErrors = new LinkedBlockingQueue<>();

  private static DataFolder folder() throws IOException {
    return DataFolder.open(Files.createTempDirectory("voter"), WriteFailureHandler.failFast());
  }

  private Voter voter(Consumer<Envelope> sender) throws IOException {
    return voter(folder(), sender);
  }

  private Voter voter(DataFolder folder, Consumer<Envelope> sender) {
    return new Voter(
            SELF,
            new BootstrapConfig(FOUNDERS, true, true),
            folder,
            Timing.standard(),
            Clocks.system(),
            sender,
            error -> threadsOfFatalErrors.add(Thread.currentThread().getName()),
            new MetricRegistry())
        .start();
  }

  private String threadOfFatalError() throws InterruptedException {
    return threadsOfFatalErrors.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  private static void runOutOfMemory() {
    throw new OutOfMemoryError("planted");
  }

  /** Guards against a process that runs on without the thread of its replicated log. */
  @Example
  void errorOnTheLogsThreadIsFatal() throws Exception {
    try (Voter voter = voter(envelope -> {})) {
      var unused =
          voter.read(
              state -> {
                runOutOfMemory();
                return state;
              });
      assertThat(threadOfFatalError()).isEqualTo("control-core");
    }
  }

  /** Guards against a start on the data of another build that fails without naming the data. */
  @Example
  void snapshotThatCannotBeReadIsAnUnusableFolder() throws IOException {
    Bytes earlier = Bytes.of(MessagePackCodec.encode(Map.of("gateway", Map.of("version", 3))));
    Snapshot snapshot = new Snapshot(1, 1, new Membership(List.of()), earlier);
    try (DataFolder folder = folder()) {
      folder.write(
          List.of(new Effects.Persist(Optional.empty(), Optional.of(snapshot), List.of())));
      assertThatThrownBy(() -> voter(folder, envelope -> {}))
          .isInstanceOf(StorageException.class)
          .hasMessageContaining("earlier build");
    }
  }

  /** Guards against a process that runs on without the thread that syncs its log. */
  @Example
  void errorOnTheDiskThreadIsFatal() throws Exception {
    Voter voter = voter(envelope -> runOutOfMemory());
    try (voter) {
      assertThat(threadOfFatalError()).isIn("control-disk", "control-core");
    }
  }
}
