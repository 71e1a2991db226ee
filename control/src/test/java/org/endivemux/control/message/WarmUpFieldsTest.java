package org.endivemux.control.message;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.WarmUp;
import org.endivemux.wire.MessagePackCodec;

/** Checks that processes of an earlier version, which lack the warm-up's fields, are understood. */
final class WarmUpFieldsTest {
  private static final GatewayServer SERVER =
      new GatewayServer(
          new BackendServerId("s"),
          new ServiceName("llm"),
          "a:1",
          new FailureDomain("a"),
          8,
          false,
          ServerKind.STEADY);
  private static final ServiceSpec SPEC =
      new ServiceSpec(
          new ServiceName("llm"),
          8,
          Optional.empty(),
          Optional.empty(),
          Optional.of(new WarmUp(3000, 13)));

  private static byte[] without(String field, Object message) {
    Map<?, ?> read = MessagePackCodec.decode(MessagePackCodec.encode(message), Map.class);
    Map<Object, Object> members = new HashMap<>(read);
    assertThat(members.remove(field)).isNotNull();
    return MessagePackCodec.encode(members);
  }

  @Example
  void fieldsCrossTheWire() {
    GatewayServer cold =
        SERVER
            .coldUntil(13_000)
            .refusedAt(12_000)
            .withVersion(Optional.of(new SoftwareVersion("v1")));
    assertThat(MessagePackCodec.decode(MessagePackCodec.encode(cold), GatewayServer.class))
        .isEqualTo(cold);
    assertThat(MessagePackCodec.decode(MessagePackCodec.encode(SPEC), ServiceSpec.class))
        .isEqualTo(SPEC);
  }

  /** Guards against a fleet that loses its list or configuration while it is upgraded. */
  @Example
  void fieldsMayBeAbsent() {
    assertThat(
            MessagePackCodec.decode(
                without("coldUntilMillis", SERVER.coldUntil(13_000)), GatewayServer.class))
        .isEqualTo(SERVER);
    assertThat(
            MessagePackCodec.decode(
                without("refusedAtMillis", SERVER.refusedAt(12_000)), GatewayServer.class))
        .isEqualTo(SERVER);
    Optional<SoftwareVersion> version = Optional.of(new SoftwareVersion("v1"));
    assertThat(
            MessagePackCodec.decode(
                without("version", SERVER.withVersion(version)), GatewayServer.class))
        .isEqualTo(SERVER);
    assertThat(MessagePackCodec.decode(without("warmUp", SPEC), ServiceSpec.class).warmUp())
        .isEmpty();
  }
}
