package org.endivemux.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/** Tests which change a leader proposes after which silences. */
final class MembershipPolicyTest {
  private static final DiskId LEADER = new DiskId("disk0");

  private static Member member(int number, boolean isVoter) {
    return new Member(new VmId("vm" + number), new DiskId("disk" + number), isVoter);
  }

  private static Membership voters(int count) {
    return new Membership(IntStream.range(0, count).mapToObj(i -> member(i, true)).toList());
  }

  /** Returns the member that the next change is about; members without a silence answer. */
  private static Optional<VmId> next(Membership membership, Map<Integer, Duration> silences) {
    return new MembershipPolicy(
            membership, LEADER, Timing.standard(), member -> contact(member, silences))
        .next()
        .map(change -> change.member().vm());
  }

  private static MemberContact contact(Member member, Map<Integer, Duration> silences) {
    int number = Integer.parseInt(member.vm().value().substring(2));
    Duration silence = silences.getOrDefault(number, Duration.ZERO);
    return new MemberContact(true, silence.toNanos(), silence.isZero());
  }

  // Guards against members that died before they had a vote and are sent heartbeats for ever.
  @Example
  void learnerThatIsSilentForLongIsRemoved() {
    Membership membership = voters(3).with(member(3, false));
    assertThat(next(membership, Map.of(3, Duration.ofSeconds(29)))).isEmpty();
    assertThat(next(membership, Map.of(3, Duration.ofSeconds(31)))).hasValue(new VmId("vm3"));
  }

  // Guards against an even group that waits, or shrinks at once although too few voters answer.
  @Example
  void evenGroupIsReducedSoonOnlyWhileAsManyAsWantedAnswer() {
    Duration silence = Duration.ofSeconds(2);
    assertThat(next(voters(6), Map.of(5, silence))).hasValue(new VmId("vm5"));
    assertThat(next(voters(6), Map.of(4, silence, 5, silence))).isEmpty();
    Duration longer = Duration.ofSeconds(9);
    assertThat(next(voters(6), Map.of(4, silence, 5, longer))).hasValue(new VmId("vm5"));
    assertThat(next(voters(5), Map.of(4, longer))).isEmpty();
  }
}
