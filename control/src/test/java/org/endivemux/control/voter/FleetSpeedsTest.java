package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.control.message.ControlReply.GatewayPollReply;
import org.endivemux.control.message.ControlRequest.GatewayPoll;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.VmId;
import org.endivemux.wire.MessagePackCodec;

/** Tests that speeds measured by many entries add up at the leader, within bounds. */
final class FleetSpeedsTest {
  private static final VmId ONE = new VmId("vm1");
  private static final VmId OTHER = new VmId("vm2");

  private static List<SpeedAt> samples(int count) {
    return List.of(new SpeedAt(7, count, 10L * count, 100L * count));
  }

  @Example
  void repeatedReportIsCountedOnceAndExpires() {
    FleetSpeeds speeds = new FleetSpeeds();
    speeds.exchange(ONE, samples(3), 0);
    speeds.exchange(ONE, samples(4), 1);
    assertThat(speeds.exchange(OTHER, samples(2), 2)).isEqualTo(samples(6));
    assertThat(speeds.exchange(OTHER, samples(2), 60_000_000_001L)).isEqualTo(samples(2));
  }

  @Example
  void entryWithoutSamplesLearnsThoseOfOthers() {
    FleetSpeeds speeds = new FleetSpeeds();
    speeds.exchange(ONE, samples(3), 0);
    assertThat(speeds.exchange(OTHER, samples(0), 0)).isEqualTo(samples(3));
    assertThat(speeds.exchange(OTHER, List.of(), 0)).isEmpty();
  }

  @Example
  void largeFleetDoesNotGrowOneReply() {
    List<SpeedAt> many = IntStream.range(0, 600).mapToObj(i -> new SpeedAt(i, 1, 0, 100)).toList();
    assertThat(new FleetSpeeds().exchange(ONE, many, 0)).hasSize(SpeedAt.MAX_PER_MESSAGE);
  }

  private static GatewayPollReply reply(List<SpeedAt> speeds) {
    return new GatewayPollReply(
        1, Optional.empty(), 2, List.of(), Optional.empty(), Optional.empty(), speeds);
  }

  @Example
  void messagesWithoutSpeedsAreThoseOfEarlierVersions() {
    byte[] reply = MessagePackCodec.encode(reply(List.of()));
    byte[] poll = MessagePackCodec.encode(GatewayPoll.none());
    assertThat(List.of(reply, poll))
        .allSatisfy(
            bytes ->
                assertThat(new String(bytes, StandardCharsets.ISO_8859_1))
                    .doesNotContain("speeds"));
    assertThat(MessagePackCodec.decode(reply, GatewayPollReply.class).speeds()).isEmpty();
    assertThat(MessagePackCodec.decode(poll, GatewayPoll.class).speeds()).isEmpty();
  }

  @Example
  void fullMessageOfSpeedsIsRoundTrippedInBoundedBytes() {
    List<SpeedAt> full =
        IntStream.range(0, SpeedAt.MAX_PER_MESSAGE)
            .mapToObj(i -> new SpeedAt(65_535 - i, 1376, -190_000, 344_000))
            .toList();
    byte[] bytes = MessagePackCodec.encode(reply(full));
    assertThat(bytes.length).isLessThan(700);
    assertThat(MessagePackCodec.decode(bytes, GatewayPollReply.class).speeds()).isEqualTo(full);
  }
}
