package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.control.voter.LargeConfigs;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.gateway.ClientLimits;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.HostRoute;
import org.endivemux.model.gateway.OrganisationKeys;
import org.endivemux.wire.MessagePackCodec;

/** Checks that entries come to the newest configuration from any earlier one, and at what size. */
final class GatewayConfigHistoryTest {
  private static final int ROUTES = 2000;

  private ControlState state = new ControlState();
  private long index;

  private void put(GatewayConfig config) {
    state.apply(
        ++index, new Command.Stamped(index, Command.PutGatewayConfig.of(config, new byte[10])));
  }

  private static int size(ViewUpdate update) {
    return MessagePackCodec.encode(update).length;
  }

  /** Guards against entries that are sent the whole configuration when a part of it changed. */
  @Example
  void changeOfOneRouteIsSentAsDifference() {
    put(LargeConfigs.withOneChangedRoute(1, ROUTES));
    long first = state.view().revision();
    put(LargeConfigs.withOneChangedRoute(2, ROUTES));
    long second = state.view().revision();
    state.updateSince(first);
    put(LargeConfigs.withOneChangedRoute(3, ROUTES));
    assertThat(size(state.updateSince(second)) * 20).isLessThan(size(state.updateSince(0)));
  }

  /** Guards against the cost of the configuration's size for each entry that starts. */
  @Example
  void wholeConfigurationIsEncodedOnce() {
    put(LargeConfigs.withOneChangedRoute(1, ROUTES));
    ViewChange first = state.updateSince(0).changes().get(0).change();
    ViewChange second = state.updateSince(0).changes().get(0).change();
    assertThat(((ViewChange.GatewayConfigured) first).update())
        .isSameAs(((ViewChange.GatewayConfigured) second).update());
  }

  /** Guards against an entry whose configuration depends on which changes it missed. */
  @Property(tries = 50)
  void everyEntryComesToTheNewestConfiguration(@ForAll long seed) {
    state = new ControlState();
    Random random = new Random(seed);
    List<EntryView> entries = new ArrayList<>(List.of(EntryView.empty()));
    for (long version = 1; version <= 60; version++) {
      put(randomConfig(version, random));
      entries.replaceAll(
          view -> random.nextInt(8) == 0 ? view.apply(state.updateSince(view.revision())) : view);
      entries.add(EntryView.empty().apply(state.updateSince(0)));
      restoreSometimes(random);
    }
    GatewayConfig newest = state.gatewayConfig();
    assertThat(entries)
        .allSatisfy(
            view -> assertSame(view.apply(state.updateSince(view.revision())).gateway(), newest));
  }

  private void restoreSometimes(Random random) {
    if (random.nextInt(10) == 0) {
      state.restore(state.save());
    }
  }

  private static void assertSame(GatewayConfig one, GatewayConfig other) {
    assertThat(one.version()).isEqualTo(other.version());
    assertThat(one.services()).isEqualTo(other.services());
    assertThat(one.limits()).isEqualTo(other.limits());
    assertThat(new HashSet<>(one.routes())).isEqualTo(new HashSet<>(other.routes()));
    assertThat(one.routes()).hasSameSizeAs(other.routes());
    assertThat(one.organisations()).containsExactlyInAnyOrderElementsOf(other.organisations());
  }

  /** Returns some routes and some organisations, of which some are listed twice. */
  private static GatewayConfig randomConfig(long version, Random random) {
    GatewayConfig all = LargeConfigs.withOneChangedRoute(version, 20);
    List<HostRoute> routes = all.routes().stream().filter(route -> random.nextInt(10) > 0).toList();
    List<OrganisationKeys> organisations =
        IntStream.range(0, random.nextInt(6))
            .mapToObj(i -> organisation(random.nextInt(4), random.nextInt(100)))
            .toList();
    ClientLimits limits =
        random.nextBoolean() ? ClientLimits.defaults() : new ClientLimits(1, 2, 3, 4);
    return new GatewayConfig(version, routes, all.services(), limits, organisations);
  }

  private static OrganisationKeys organisation(int number, int key) {
    return new OrganisationKeys(
        new OrganisationId("o" + number),
        List.of(new KeyDigest("%064x".formatted(key))),
        OptionalInt.empty());
  }
}
