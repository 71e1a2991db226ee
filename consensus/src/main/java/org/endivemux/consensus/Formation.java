package org.endivemux.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.endivemux.consensus.Message.Form;
import org.endivemux.consensus.Message.Join;
import org.endivemux.consensus.Message.Probe;
import org.endivemux.consensus.Message.ProbeReply;
import org.endivemux.model.Bytes;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Forms the first quorum, or asks to join the one that exists.
 *
 * <p>Invariants: the first membership needs every named voter reachable with an empty disk, and
 * holds their disk ids; only the smallest named VM proposes it, and syncs it before it tells
 * others; an empty disk among used ones joins and never forms. Confined to the core's thread.
 */
final class Formation {
  /** Index that the first membership takes in every log. */
  private static final long FIRST_INDEX = 1;

  private static final int HEARTBEATS_BETWEEN_PROBES = 3;

  private final CoreState state;
  private final Map<VmId, Blank> blanks = new TreeMap<>();
  private Optional<Long> lastProbeAt = Optional.empty();

  Formation(CoreState state) {
    this.state = state;
  }

  void tick(long now) {
    long pause = HEARTBEATS_BETWEEN_PROBES * state.timing.heartbeatNanos();
    if (lastProbeAt.filter(at -> now - at < pause).isPresent()) {
      return;
    }
    lastProbeAt = Optional.of(now);
    state.named.stream()
        .filter(vm -> !vm.equals(state.self))
        .map(vm -> new Envelope(state.self, state.disk, vm, Optional.empty(), new Probe()))
        .forEach(state.effects::send);
    blanks.values().removeIf(blank -> now - blank.heardAt() > 2 * pause);
    formWhenUnanimous();
  }

  void onProbe(Envelope envelope) {
    state.reply(envelope, new ProbeReply(isBlank()));
    Snapshot first = state.log.snapshot();
    if (first.index() == FIRST_INDEX && first.membership().hasVoter(envelope.fromDisk())) {
      state.reply(envelope, new Form(first.membership()));
    }
  }

  void onProbeReply(Envelope envelope, ProbeReply reply, long now) {
    if (state.role != Role.UNFORMED) {
      return;
    }
    if (reply.blank()) {
      blanks.put(envelope.from(), new Blank(envelope.fromDisk(), now));
      formWhenUnanimous();
    } else {
      blanks.remove(envelope.from());
      state.reply(envelope, new Join());
    }
  }

  /** Returns whether this disk has never taken part in anything. */
  private boolean isBlank() {
    return state.role == Role.UNFORMED && state.term == 0;
  }

  void onForm(Form form) {
    if (isBlank() && form.membership().hasVoter(state.disk)) {
      form(form.membership());
    }
  }

  private void formWhenUnanimous() {
    boolean proposes = state.self.equals(new TreeSet<>(state.named).first());
    boolean unanimous = blanks.size() == state.named.size() - 1;
    if (!isBlank() || !proposes || !unanimous) {
      return;
    }
    Stream<Member> others =
        blanks.entrySet().stream()
            .map(blank -> new Member(blank.getKey(), blank.getValue().disk(), true));
    List<Member> members =
        Stream.concat(Stream.of(new Member(state.self, state.disk, true)), others).toList();
    Membership membership = new Membership(members);
    form(membership);
    membership
        .others(state.disk)
        .map(member -> state.envelope(member, new Form(membership)))
        .forEach(state.effects::sendAfterPersist);
  }

  private void form(Membership membership) {
    Snapshot first = new Snapshot(FIRST_INDEX, 0, membership, Bytes.empty());
    state.log.reset(first);
    state.commit = FIRST_INDEX;
    state.applied = FIRST_INDEX;
    state.effects.install(first);
    state.fire(RoleEvent.FORMED);
  }

  private record Blank(DiskId disk, long heardAt) {}
}
