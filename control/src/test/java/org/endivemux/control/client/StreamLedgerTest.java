package org.endivemux.control.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamStarts;

/** Checks which streams an entry remembers and reports. */
final class StreamLedgerTest {
  private static final ServiceName SERVICE = new ServiceName("llm");
  private static final SoftwareVersion VERSION = new SoftwareVersion("v1");
  private static final long LIFETIME_MILLIS = 20_000;

  private final AtomicLong nanos = new AtomicLong();
  private final StreamLedger ledger = new StreamLedger(nanos::get);

  private static StreamKey key(int number) {
    return StreamKey.of("a" + number);
  }

  private void began(int number) {
    ledger.began(key(number), SERVICE, VERSION, LIFETIME_MILLIS);
  }

  /** Guards against a start that is lost with a poll that is not answered. */
  @Example
  void streamIsReportedUntilAPollWithItIsAnswered() {
    began(1);
    List<StreamStarts> lost = ledger.unreported();
    began(2);
    List<StreamStarts> answered = ledger.unreported();
    began(3);
    assertThat(lost.get(0).streams()).containsExactly(key(1));
    assertThat(answered.get(0).streams()).containsExactlyInAnyOrder(key(1), key(2));

    ledger.reported(answered);

    assertThat(ledger.unreported().get(0).streams()).containsExactly(key(3));
  }

  /** Guards against a version that is named for longer than the stream can last. */
  @Example
  void streamIsForgottenAtTheEndOfItsLifetime() {
    began(1);
    nanos.addAndGet(Duration.ofMillis(LIFETIME_MILLIS - 1).toNanos());
    assertThat(ledger.version(SERVICE, key(1))).hasValue(VERSION);
    assertThat(ledger.version(new ServiceName("other"), key(1))).isEmpty();
    nanos.addAndGet(Duration.ofMillis(1).toNanos());
    assertThat(ledger.version(SERVICE, key(1))).isEmpty();
  }

  /** Guards against memory and polls that grow as long as no leader answers. */
  @Example
  void onlyTheNewestStreamsAreRemembered() {
    int count = StreamLedger.MAX_STREAMS + 10;
    IntStream.range(0, count).forEach(this::began);
    assertThat(ledger.unreported().get(0).streams()).hasSize(StreamLedger.MAX_STREAMS);
    assertThat(ledger.version(SERVICE, key(0))).isEmpty();
    assertThat(ledger.version(SERVICE, key(count - 1))).hasValue(VERSION);
  }
}
