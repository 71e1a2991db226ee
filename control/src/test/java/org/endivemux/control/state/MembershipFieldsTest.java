package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.endivemux.consensus.Member;
import org.endivemux.consensus.Membership;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;
import org.endivemux.wire.MessagePackCodec;

/** Checks that builds with and without the wanted number of voters read each other's membership. */
final class MembershipFieldsTest {
  private record EarlierMembership(List<Member> members) {}

  private static List<Member> members(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new Member(new VmId("vm" + i), new DiskId("disk" + i), true))
        .toList();
  }

  // Guards against a log or snapshot of an earlier build that cannot be read.
  @Example
  void membershipOfAnEarlierBuildWantsTheOddNumberOfItsVoters() {
    byte[] earlier = MessagePackCodec.encode(new EarlierMembership(members(6)));
    Membership read = MessagePackCodec.decode(earlier, Membership.class);
    assertThat(read).isEqualTo(new Membership(members(6)));
    assertThat(read.targetVoters()).isEqualTo(5);
  }

  // Guards against a member of an earlier build that cannot read what a newer leader proposes.
  @Example
  void earlierBuildReadsTheMembers() {
    byte[] encoded = MessagePackCodec.encode(new Membership(members(4), 5));
    assertThat(MessagePackCodec.decode(encoded, EarlierMembership.class).members())
        .isEqualTo(members(4));
    assertThat(MessagePackCodec.decode(encoded, Membership.class).targetVoters()).isEqualTo(5);
  }
}
