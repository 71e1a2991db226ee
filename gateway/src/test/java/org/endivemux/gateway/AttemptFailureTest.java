package org.endivemux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;
import org.endivemux.routing.fleet.AttemptResult;
import org.endivemux.wire.SendMarker;

/** Tests how attempts that failed are taken to have ended. */
final class AttemptFailureTest {
  /** Guards against a reset connection that turns a sound server cold for all entries. */
  @Example
  void onlyARefusedConnectionTellsThatTheServerHasEnded() {
    assertThat(endOf(new BackendPort.ConnectionRefused(new IOException("refused"))))
        .isEqualTo(AttemptResult.REFUSED);
    assertThat(endOf(new IOException("reset"))).isEqualTo(AttemptResult.FAILED);
  }

  private static AttemptResult endOf(Throwable error) {
    return AttemptFailure.endOf(new SendMarker(), error);
  }
}
