package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.endivemux.model.Bytes;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.wire.MessagePackCodec;

/** Checks that orders to evacuate are idempotent, durable and known to every entry. */
final class EvacuationStateTest {
  private static final FailureDomain DOMAIN = new FailureDomain("d1");
  private static final Command START = new Command.StartEvacuation(DOMAIN);
  private static final Command END = new Command.EndEvacuation(DOMAIN);

  private final ControlState state = new ControlState();
  private long index;

  private long order(Command command) {
    CommandResult result = state.apply(++index, new Command.Stamped(index, command));
    return ((CommandResult.Stored) result).revision();
  }

  private void put(long version) {
    GatewayConfig config =
        new GatewayConfig(version, List.of(), List.of(), ClientLimits.defaults(), List.of());
    order(Command.PutGatewayConfig.of(config, new byte[0]));
  }

  private static ControlState restored(Bytes bytes) {
    ControlState restored = new ControlState();
    restored.restore(bytes);
    return restored;
  }

  /**
   * Guards against a resend after a lost reply, or after the loss of the leader that committed the
   * order, that is acknowledged before entries have the order.
   */
  @Example
  void repeatedOrderWaitsForTheRevisionOfTheFirst() {
    long started = order(START);
    put(1);
    assertThat(order(START)).isEqualTo(started).isEqualTo(1);
    long ended = order(END);
    put(2);
    assertThat(order(END)).isEqualTo(ended).isEqualTo(4);
    ControlState next = restored(state.save());
    assertThat(next.apply(++index, new Command.Stamped(index, END)))
        .isEqualTo(new CommandResult.EvacuationStored(ended));
    assertThat(state.view().evacuated()).isEmpty();
  }

  @Example
  void endOfADomainThatIsNotEvacuatedChangesNothing() {
    assertThat(order(END)).isZero();
    assertThat(state.view().revision()).isZero();
  }

  /** Guards against an order that is lost with all processes. */
  @Example
  void evacuationSurvivesASnapshotAndReachesAnEntryThatStarts() {
    put(1);
    order(START);
    ControlState next = restored(state.save());
    assertThat(next.view().evacuated()).containsExactly(DOMAIN);
    EntryView started = EntryView.empty().apply(next.updateSince(0));
    assertThat(started.evacuated()).containsExactly(DOMAIN);
    assertThat(started.gateway().version()).isEqualTo(1);
  }

  /** Guards against an entry that was out of contact and returns without the order. */
  @Example
  void entryThatWasOutOfContactLearnsOfStartAndEnd() {
    put(1);
    EntryView silent = state.view();
    order(START);
    put(2);
    EntryView started = silent.apply(state.updateSince(silent.revision()));
    assertThat(started.evacuated()).containsExactly(DOMAIN);
    order(END);
    assertThat(started.apply(state.updateSince(started.revision())).evacuated()).isEmpty();
    assertThat(silent.apply(state.updateSince(silent.revision())).evacuated()).isEmpty();
  }

  /** Guards against a data folder or a leader of an earlier build that can no longer be read. */
  @Example
  @SuppressWarnings("unchecked")
  void stateOfAnEarlierBuildHasNoEvacuation() {
    order(START);
    Map<String, Object> saved =
        new HashMap<>(MessagePackCodec.decode(state.save().toArray(), Map.class));
    assertThat(saved.remove("evacuations")).isNotNull();
    assertThat(restored(Bytes.of(MessagePackCodec.encode(saved))).view().evacuated()).isEmpty();
    Map<String, Object> view =
        new HashMap<>(
            MessagePackCodec.decode(MessagePackCodec.encode(state.view().save()), Map.class));
    assertThat(view.remove("evacuated")).isNotNull();
    EntryView.Saved earlier =
        MessagePackCodec.decode(MessagePackCodec.encode(view), EntryView.Saved.class);
    assertThat(EntryView.of(earlier).evacuated()).isEmpty();
  }
}
