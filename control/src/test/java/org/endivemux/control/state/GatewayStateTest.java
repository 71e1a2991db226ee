package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Bytes;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.wire.MessagePackCodec;

/**
 * Checks that the gateway version never decreases and that counts of final windows never change.
 */
final class GatewayStateTest {
  private final ControlState state = new ControlState();
  private long index;

  private void apply(Command command) {
    state.apply(++index, new Command.Stamped(index, command));
  }

  private void put(long version, String document) {
    GatewayConfig config =
        new GatewayConfig(version, List.of(), List.of(), ClientLimits.defaults(), List.of());
    apply(Command.PutGatewayConfig.of(config, Bytes.ofUtf8(document).toArray()));
  }

  private static String document(ControlState state) {
    return Bytes.of(state.gatewayDocument().orElseThrow().unpack(byte[].class)).toUtf8();
  }

  @Example
  void olderAndEqualVersionsChangeNothing() {
    put(7, "seven");
    put(5, "five");
    put(7, "other");
    assertThat(state.view().gateway().version()).isEqualTo(7);
    assertThat(document(state)).isEqualTo("seven");
  }

  /** Guards against entries that start late because they are sent every earlier configuration. */
  @Example
  void entryThatStartsIsSentTheNewestConfigurationOnly() {
    LongStream.rangeClosed(1, 100).forEach(version -> put(version, "document"));
    ViewUpdate update = state.updateSince(0);
    assertThat(update.changes().size()).isEqualTo(1);
    assertThat(EntryView.empty().apply(update).gateway().version()).isEqualTo(100);
  }

  /** Guards against a view that lacks changes of other kinds when configurations are left out. */
  @Example
  void otherChangesBetweenConfigurationsAreSent() {
    BackendServerId server = new BackendServerId("b1");
    put(1, "one");
    long known = state.view().revision();
    EntryView knownView = state.view();
    put(2, "two");
    apply(new Command.SetLeaving(List.of(server), true, "operator"));
    put(3, "three");
    EntryView started = EntryView.empty().apply(state.updateSince(0));
    EntryView followed = knownView.apply(state.updateSince(known));
    assertThat(List.of(started, followed))
        .allMatch(view -> view.gateway().version() == 3)
        .allMatch(view -> view.isLeaving(server))
        .allMatch(view -> view.revision() == state.view().revision());
  }

  @Example
  void configurationAndWindowsSurviveASnapshot() {
    put(3, "three");
    apply(new Command.FinaliseWindow(12, Map.of(new OrganisationId("o"), 5L)));
    ControlState restored = new ControlState();
    restored.restore(state.save());
    assertThat(document(restored)).isEqualTo("three");
    assertThat(restored.view().gateway().version()).isEqualTo(3);
    assertThat(restored.windowReports().firstUnsent().orElseThrow().requests())
        .containsEntry(new OrganisationId("o"), 5L);
  }

  /** Guards against a data folder of an earlier build that is read as one without configuration. */
  @Example
  @SuppressWarnings("unchecked")
  void snapshotOfAnEarlierBuildIsAnError() {
    put(3, "three");
    Map<String, Object> saved =
        new HashMap<>(MessagePackCodec.decode(state.save().toArray(), Map.class));
    saved.put("gateway", Map.of("version", 3));
    Bytes earlier = Bytes.of(MessagePackCodec.encode(saved));
    assertThatThrownBy(() -> new ControlState().restore(earlier))
        .hasStackTraceContaining("earlier build");
  }

  /** Guards against a log of an earlier build that is applied without its configurations. */
  @Example
  void commandOfAnEarlierBuildIsAnError() {
    Map<String, Object> command =
        Map.of("t", "gateway", "config", Map.of("version", 3), "document", "{}");
    byte[] earlier = MessagePackCodec.encode(Map.of("atMillis", 1, "command", command));
    assertThatThrownBy(() -> MessagePackCodec.decode(earlier, Command.Stamped.class))
        .hasStackTraceContaining("earlier build");
  }

  @Example
  void countsOfAFinalWindowNeverChange() {
    apply(new Command.FinaliseWindow(1, Map.of(new OrganisationId("o"), 5L)));
    apply(new Command.FinaliseWindow(1, Map.of(new OrganisationId("o"), 6L)));
    assertThat(state.windowReports().firstUnsent().orElseThrow().requests())
        .containsEntry(new OrganisationId("o"), 5L);
  }

  @Example
  void sentWindowsAreNotSentAgain() {
    apply(new Command.FinaliseWindow(1, Map.of()));
    apply(new Command.FinaliseWindow(2, Map.of()));
    apply(new Command.MarkWindowSent(1));
    assertThat(state.windowReports().firstUnsent().orElseThrow().window()).isEqualTo(2);
  }
}
