package org.endivemux.consensus;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
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
 * <p>Invariants: the first membership needs every founder reachable with an empty disk, and holds
 * their disk ids; only the smallest founder proposes it, and syncs it before it tells others; an
 * empty disk among used ones joins and never forms. Confined to the core's thread.
 */
final class Formation {
  /** Index that the first membership takes in every log. */
  private static final long FIRST_INDEX = 1;

  private static final int HEARTBEATS_BETWEEN_PROBES = 3;

  /** Several elections long, so that a member that was not removed has heard a leader again. */
  private static final long FORGOTTEN_NANOS = Duration.ofSeconds(4).toNanos();

  private final CoreState state;
  private final Map<VmId, Blank> blanks = new TreeMap<>();
  private final Set<VmId> learnt = new HashSet<>();
  private Optional<Long> lastProbeAt = Optional.empty();

  Formation(CoreState state) {
    this.state = state;
  }

  void tick(long now) {
    if (isProbeDue(now)) {
      probe(now);
      blanks.values().removeIf(blank -> now - blank.heardAt() > 2 * probePause());
      formWhenUnanimous();
    }
  }

  /**
   * Asks the others for the leader when none was heard for long: this disk may be no member now.
   */
  void rejoinTick(long now) {
    if (isForgotten(now) && isProbeDue(now)) {
      probe(now);
    }
  }

  private boolean isForgotten(long now) {
    long since = state.heardLeaderAt.orElse(state.startedAt);
    boolean passive = state.role != Role.UNFORMED && state.role != Role.LEADER;
    return passive && now - since > FORGOTTEN_NANOS;
  }

  private long probePause() {
    return HEARTBEATS_BETWEEN_PROBES * state.timing.heartbeatNanos();
  }

  private boolean isProbeDue(long now) {
    return lastProbeAt.filter(at -> now - at < probePause()).isEmpty();
  }

  private void probe(long now) {
    lastProbeAt = Optional.of(now);
    contacts()
        .filter(vm -> !vm.equals(state.self))
        .map(vm -> new Envelope(state.self, state.disk, vm, Optional.empty(), new Probe()))
        .forEach(state.effects::send);
  }

  private Stream<VmId> contacts() {
    Stream<VmId> known = Stream.concat(state.founding.contacts().stream(), memberVms().stream());
    return Stream.concat(known, learnt.stream()).distinct();
  }

  private Set<VmId> memberVms() {
    return state.log.membership().members().stream().map(Member::vm).collect(Collectors.toSet());
  }

  void onProbe(Envelope envelope) {
    state.reply(envelope, new ProbeReply(isBlank(), memberVms()));
    Snapshot first = state.log.snapshot();
    if (first.index() == FIRST_INDEX && first.membership().hasVoter(envelope.fromDisk())) {
      state.reply(envelope, new Form(first.membership()));
    }
  }

  void onProbeReply(Envelope envelope, ProbeReply reply, long now) {
    if (!reply.members().isEmpty()) {
      learnt.clear();
      learnt.addAll(reply.members());
    }
    if (state.role == Role.UNFORMED && reply.blank()) {
      blanks.put(envelope.from(), new Blank(envelope.fromDisk(), now));
      formWhenUnanimous();
    } else if (state.role == Role.UNFORMED || isForgotten(now)) {
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
    if (!isBlank() || !proposes() || !isUnanimous()) {
      return;
    }
    Stream<Member> others =
        blanks.entrySet().stream()
            .filter(blank -> state.founding.contacts().contains(blank.getKey()))
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

  private boolean proposes() {
    Set<VmId> founders = state.founding.contacts();
    return state.founding.mayForm() && state.self.equals(new TreeSet<>(founders).first());
  }

  private boolean isUnanimous() {
    return state.founding.contacts().stream()
        .allMatch(vm -> vm.equals(state.self) || blanks.containsKey(vm));
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
