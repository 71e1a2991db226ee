package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.endivemux.consensus.BootstrapConfig;
import org.endivemux.consensus.Envelope;
import org.endivemux.consensus.Timing;
import org.endivemux.model.VmId;
import org.endivemux.storage.DataFolder;
import org.endivemux.storage.WriteFailureHandler;

/** Checks that a voter that has lost one of its threads does not run on. */
final class VoterErrorTest {
  private static final int LIMIT_SECONDS = 60;
  private static final VmId SELF = new VmId("127.0.0.1:1");
  private static final Set<VmId> FOUNDERS =
      Set.of(SELF, new VmId("127.0.0.1:2"), new VmId("127.0.0.1:3"));

  private final BlockingQueue<String> threadsOfFatalErrors = new LinkedBlockingQueue<>();

  private Voter voter(Consumer<Envelope> sender) throws IOException {
    return new Voter(
            SELF,
            new BootstrapConfig(FOUNDERS, true, true),
            DataFolder.open(Files.createTempDirectory("voter"), WriteFailureHandler.failFast()),
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

  /** Guards against a process that runs on without the thread that syncs its log. */
  @Example
  void errorOnTheDiskThreadIsFatal() throws Exception {
    Voter voter = voter(envelope -> runOutOfMemory());
    try (voter) {
      assertThat(threadOfFatalError()).isIn("control-disk", "control-core");
    }
  }
}
