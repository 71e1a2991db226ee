package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.endivemux.control.state.Command.Stamped;
import org.endivemux.model.Bytes;
import org.endivemux.model.ClassName;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.IdempotencyTime;
import org.endivemux.model.Incarnation;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Outcome;
import org.endivemux.model.Reason;
import org.endivemux.model.RequestId;
import org.endivemux.model.UsageLine;
import org.endivemux.model.UsageTotals;
import org.endivemux.model.VmId;

/** Checks invariants of the replicated state under random commands. */
final class ControlStateTest {
  private static final long HOUR_MILLIS = 3_600_000;
  private static final OrganisationId ORGANISATION = new OrganisationId("eggs");
  private static final Incarnation INCARNATION = new Incarnation("life");

  private ControlState state;
  private long now = 1_800_000_000_000L;
  private long index;

  @BeforeTry
  void startFresh() {
    state = new ControlState();
    state.restore(Bytes.empty());
  }

  private CommandResult apply(Command command) {
    return state.apply(++index, new Stamped(now, command));
  }

  @Property(tries = 150, seed = "20")
  void noCallIsGrantedToTwoOwnersUnlessReleased(@ForAll long seed) {
    Random random = new Random(seed);
    List<IdempotencyKey> keys =
        List.of(IdempotencyTime.of(now, 1, 1), IdempotencyTime.of(now, 2, 2));
    Map<IdempotencyKey, ClaimOwner> owners = new HashMap<>();
    Set<IdempotencyKey> sent = new HashSet<>();
    for (int step = 0; step < 200; step++) {
      IdempotencyKey key = keys.get(random.nextInt(2));
      ClaimOwner owner =
          new ClaimOwner(
              new VmId("vm" + random.nextInt(3)), INCARNATION, new RequestId("r" + step / 3));
      now += random.nextInt(60_000);
      switch (random.nextInt(6)) {
        case 0 -> {
          if (owner.equals(owners.get(key)) && !sent.contains(key)) {
            apply(new Command.ReleaseClaim(ORGANISATION, key, owner));
            owners.remove(key);
          }
        }
        case 1 -> apply(new Command.AbandonClaims(owner.vm(), INCARNATION));
        case 2 -> apply(new Command.MarkOutcomeUnknown(ORGANISATION, key, owner));
        case 3 -> state = copy(state);
        default -> {
          CommandResult result = apply(new Command.OpenClaim(ORGANISATION, key, "digest", owner));
          if (result instanceof CommandResult.ClaimGranted) {
            assertThat(owners.getOrDefault(key, owner)).isEqualTo(owner);
            owners.put(key, owner);
            sent.add(key);
          }
        }
      }
    }
  }

  private static ControlState copy(ControlState original) {
    ControlState restored = new ControlState();
    restored.restore(original.save());
    assertThat(restored.save().size()).isEqualTo(original.save().size());
    return restored;
  }

  @Example
  void removedClaimHasAKeyTooOldToBeClaimedAgain() {
    IdempotencyKey key = IdempotencyTime.of(now, 1, 1);
    ClaimOwner owner = new ClaimOwner(new VmId("vm1"), INCARNATION, new RequestId("r1"));
    apply(new Command.OpenClaim(ORGANISATION, key, "d", owner));
    apply(
        new Command.FinishClaim(
            ORGANISATION, key, owner, new Outcome(200, "t", Bytes.ofUtf8("x"))));
    now += 23 * HOUR_MILLIS;
    ClaimOwner other = new ClaimOwner(new VmId("vm2"), INCARNATION, new RequestId("r2"));
    assertThat(apply(new Command.OpenClaim(ORGANISATION, key, "d", other)))
        .isInstanceOf(CommandResult.ClaimDone.class);
    now += 2 * HOUR_MILLIS;
    assertThat(apply(new Command.OpenClaim(ORGANISATION, key, "d", other)))
        .isInstanceOfSatisfying(
            CommandResult.Refused.class,
            refused -> assertThat(refused.reason()).isEqualTo(Reason.IDEMPOTENCY_KEY_TOO_OLD));
    assertThat(state.claimCount()).isZero();
  }

  @Example
  void clockThatGoesBackReopensNoClaim() {
    IdempotencyKey key = IdempotencyTime.of(now, 1, 1);
    ClaimOwner owner = new ClaimOwner(new VmId("vm1"), INCARNATION, new RequestId("r1"));
    apply(new Command.OpenClaim(ORGANISATION, key, "d", owner));
    now += 25 * HOUR_MILLIS;
    apply(new Command.CloseWindow(1));
    now -= 25 * HOUR_MILLIS;
    assertThat(apply(new Command.OpenClaim(ORGANISATION, key, "d", owner)))
        .isInstanceOf(CommandResult.Refused.class);
  }

  @Property(tries = 100, seed = "21")
  void usageIsCountedOnceWhenTotalsAreRepeatedOrLate(@ForAll long seed) {
    Random random = new Random(seed);
    long total = 0;
    long[] running = new long[3];
    Map<Long, List<UsageLine>> closed = new HashMap<>();
    for (int step = 0; step < 100; step++) {
      int vm = random.nextInt(3);
      running[vm] += random.nextInt(3);
      long sent = random.nextInt(4) == 0 ? Math.max(0, running[vm] - 2) : running[vm];
      apply(record(vm, sent));
      if (random.nextInt(5) == 0) {
        apply(new Command.CloseWindow(state.openWindow()));
        apply(new Command.CloseWindow(state.openWindow() - 1));
      }
      state = random.nextInt(10) == 0 ? copy(state) : state;
      state
          .windows()
          .forEach(
              window ->
                  assertThat(closed.computeIfAbsent(window.number(), n -> window.lines()))
                      .isEqualTo(window.lines()));
    }
    for (int vm = 0; vm < 3; vm++) {
      apply(record(vm, running[vm]));
      total += running[vm];
    }
    apply(new Command.CloseWindow(state.openWindow()));
    long counted =
        state.windows().stream()
            .flatMap(window -> window.lines().stream())
            .mapToLong(line -> line.totals().requests())
            .sum();
    assertThat(counted).isEqualTo(total);
  }

  private static Command record(int vm, long requests) {
    UsageLine line =
        new UsageLine(ORGANISATION, new ClassName("chat"), new UsageTotals(requests, 0, 0));
    return new Command.RecordUsage(new VmId("vm" + vm), INCARNATION, List.of(line));
  }
}
