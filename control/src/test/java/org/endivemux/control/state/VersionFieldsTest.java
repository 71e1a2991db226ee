package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.endivemux.control.message.ControlRequest.GatewayPoll;
import org.endivemux.control.state.Command.Stamped;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Bytes;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamStarts;
import org.endivemux.wire.MessagePackCodec;

/** Checks that what earlier builds write, without software versions, is understood. */
final class VersionFieldsTest {
  private static final VersionNote NOTE =
      new VersionNote(
          1,
          Optional.of(Map.of(new ServiceName("llm"), List.of(new SoftwareVersion("v1")))),
          List.of(
              new StreamStarts(
                  new ServiceName("llm"),
                  new SoftwareVersion("v1"),
                  20_000,
                  List.of(StreamKey.of("a")))));

  private static byte[] without(String field, byte[] message) {
    Map<?, ?> read = MessagePackCodec.decode(message, Map.class);
    Map<Object, Object> members = new HashMap<>(read);
    assertThat(members.remove(field)).isNotNull();
    return MessagePackCodec.encode(members);
  }

  /** Guards against a voter that ends at a log entry or a snapshot of an earlier build. */
  @Example
  void logAndSnapshotsOfEarlierBuildsAreRead() {
    Stamped stamped = new Stamped(1, Command.noChange(), Optional.of(NOTE));
    byte[] entry = MessagePackCodec.encode(stamped);
    assertThat(MessagePackCodec.decode(entry, Stamped.class)).isEqualTo(stamped);
    assertThat(MessagePackCodec.decode(without("note", entry), Stamped.class).note()).isEmpty();
    ControlState state = new ControlState();
    state.apply(1, stamped);
    ControlState restored = new ControlState();
    restored.restore(Bytes.of(without("streamVersions", state.save().toArray())));
    assertThat(restored.streamVersions().size()).isZero();
  }

  // Guards against a voter that ends at a note of an earlier build, or forgets in a snapshot since
  // when a server leaves.
  @Example
  void timesOfServersThatLeaveAreOptional() {
    Map<BackendServerId, Long> leaving = Map.of(new BackendServerId("s"), 1L);
    VersionNote note = new VersionNote(2, Optional.empty(), List.of(), leaving);
    byte[] encoded = MessagePackCodec.encode(note);
    assertThat(MessagePackCodec.decode(encoded, VersionNote.class)).isEqualTo(note);
    assertThat(MessagePackCodec.decode(without("leaving", encoded), VersionNote.class).leaving())
        .isEmpty();
    ControlState state = new ControlState();
    state.apply(1, new Stamped(2, Command.noChange(), Optional.of(note)));
    ControlState restored = new ControlState();
    restored.restore(state.save());
    assertThat(restored.streamVersions().leavingSince()).isEqualTo(leaving);
  }

  // Guards against an entry that cannot read a list of an earlier build, or an earlier one of ours.
  @Example
  void serverWithoutTheTimeHasTheFormatOfEarlierBuilds() {
    GatewayServer server =
        new GatewayServer(
            new BackendServerId("s"),
            new ServiceName("llm"),
            "10.0.0.1:1",
            new FailureDomain("a"),
            4,
            true,
            ServerKind.STEADY);
    byte[] encoded = MessagePackCodec.encode(server);
    Map<?, ?> members = MessagePackCodec.decode(encoded, Map.class);
    assertThat(members.containsKey("leavingSinceMillis")).isFalse();
    assertThat(MessagePackCodec.decode(encoded, GatewayServer.class)).isEqualTo(server);
    GatewayServer timed = server.leavingSince(5);
    assertThat(MessagePackCodec.decode(MessagePackCodec.encode(timed), GatewayServer.class))
        .isEqualTo(timed);
  }

  /** Guards against a poll with streams that an earlier build's format has no place for. */
  @Example
  void pollWithoutStreamsHasTheFormatOfEarlierBuilds() {
    byte[] poll = MessagePackCodec.encode(GatewayPoll.none());
    Map<?, ?> members = MessagePackCodec.decode(poll, Map.class);
    assertThat(members.containsKey("streams")).isFalse();
    assertThat(MessagePackCodec.decode(poll, GatewayPoll.class)).isEqualTo(GatewayPoll.none());
  }
}
