package org.endivemux.consensus;

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
 * Forms the initial membership, or asks to join an existing one.
 *
 * <p>Invariants: the initial membership is formed only if every contact is reachable with an empty
 * disk, and it holds their disk ids; only the contact with the smallest id proposes it, and syncs
 * it before sending it to the others; a member with an empty disk asks any VM with data to join
 * instead. Confined to the core's thread.
 */
final class Formation {
  /** Index of the initial membership in every log. */
  private static final long FIRST_INDEX = 1;

  private static final int PROBE_INTERVAL_HEARTBEATS = 3;

  private final CoreState state;
  private final Map<VmId, EmptyPeer> emptyPeers = new TreeMap<>();
  private final Set<VmId> learnedContacts = new HashSet<>();
  private Optional<Long> lastProbeAt = Optional.empty();

  Formation(CoreState state) {
    this.state = state;
  }

  void tick(long now) {
    if (isProbeDue(now)) {
      probe(now);
      emptyPeers.values().removeIf(peer -> now - peer.heardAt() > 2 * probeIntervalNanos());
      formIfAllContactsEmpty();
    }
  }

  /**
   * Asks the others for the leader after a silence, because this disk may have been removed from
   * the membership; a leader ignores members that ask to join.
   */
  void rejoinTick(long now) {
    if (isLeaderSilent(now) && isProbeDue(now)) {
      probe(now);
    }
  }

  private boolean isLeaderSilent(long now) {
    long since = state.heardLeaderAt.orElse(state.startedAt);
    boolean passive = state.role != Role.UNFORMED && state.role != Role.LEADER;
    return passive && now - since > state.timing.rejoinSilenceNanos();
  }

  private long probeIntervalNanos() {
    return PROBE_INTERVAL_HEARTBEATS * state.timing.heartbeatNanos();
  }

  private boolean isProbeDue(long now) {
    return lastProbeAt.filter(at -> now - at < probeIntervalNanos()).isEmpty();
  }

  private void probe(long now) {
    lastProbeAt = Optional.of(now);
    probeTargets()
        .filter(vm -> !vm.equals(state.self))
        .map(vm -> new Envelope(state.self, state.disk, vm, Optional.empty(), new Probe()))
        .forEach(state.effects::send);
  }

  private Stream<VmId> probeTargets() {
    Stream<VmId> known = Stream.concat(state.bootstrap.contacts().stream(), memberVms().stream());
    return Stream.concat(known, learnedContacts.stream()).distinct();
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
      learnedContacts.clear();
      learnedContacts.addAll(reply.members());
    }
    if (state.role == Role.UNFORMED && reply.blank()) {
      emptyPeers.put(envelope.from(), new EmptyPeer(envelope.fromDisk(), now));
      formIfAllContactsEmpty();
    } else if (state.role == Role.UNFORMED || isLeaderSilent(now)) {
      emptyPeers.remove(envelope.from());
      state.reply(envelope, new Join());
    }
  }

  /** Returns whether this disk has neither a membership nor a term. */
  private boolean isBlank() {
    return state.role == Role.UNFORMED && state.term == 0;
  }

  void onForm(Form form) {
    if (isBlank() && form.membership().hasVoter(state.disk)) {
      form(form.membership());
    }
  }

  private void formIfAllContactsEmpty() {
    if (!isBlank() || !isProposer() || !areAllContactsEmpty()) {
      return;
    }
    Stream<Member> others =
        emptyPeers.entrySet().stream()
            .filter(peer -> state.bootstrap.contacts().contains(peer.getKey()))
            .map(peer -> new Member(peer.getKey(), peer.getValue().disk(), true));
    List<Member> members =
        Stream.concat(Stream.of(new Member(state.self, state.disk, true)), others).toList();
    Membership membership = new Membership(members);
    form(membership);
    membership
        .others(state.disk)
        .map(member -> state.envelope(member, new Form(membership)))
        .forEach(state.effects::sendAfterPersist);
  }

  private boolean isProposer() {
    Set<VmId> contacts = state.bootstrap.contacts();
    return state.bootstrap.mayForm() && state.self.equals(new TreeSet<>(contacts).first());
  }

  private boolean areAllContactsEmpty() {
    return state.bootstrap.contacts().stream()
        .allMatch(vm -> vm.equals(state.self) || emptyPeers.containsKey(vm));
  }

  private void form(Membership membership) {
    Snapshot first = new Snapshot(FIRST_INDEX, 0, membership, Bytes.empty());
    state.resetLog(first);
    state.commit = FIRST_INDEX;
    state.applied = FIRST_INDEX;
    state.effects.install(first);
    state.fire(RoleEvent.FORMED);
  }

  private record EmptyPeer(DiskId disk, long heardAt) {}
}
