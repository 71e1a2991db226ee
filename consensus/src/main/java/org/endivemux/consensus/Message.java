package org.endivemux.consensus;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Set;
import org.endivemux.model.VmId;

/** Defines the messages between members. All kinds are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Message.VoteRequest.class, name = "vq"),
  @JsonSubTypes.Type(value = Message.VoteReply.class, name = "vr"),
  @JsonSubTypes.Type(value = Message.Append.class, name = "aq"),
  @JsonSubTypes.Type(value = Message.AppendReply.class, name = "ar"),
  @JsonSubTypes.Type(value = Message.InstallSnapshot.class, name = "sn"),
  @JsonSubTypes.Type(value = Message.Probe.class, name = "pq"),
  @JsonSubTypes.Type(value = Message.ProbeReply.class, name = "pr"),
  @JsonSubTypes.Type(value = Message.Form.class, name = "fm"),
  @JsonSubTypes.Type(value = Message.Join.class, name = "jn")
})
public sealed interface Message {
  /** Asks for a vote or, with {@code pre}, whether a vote would be granted. */
  record VoteRequest(long term, boolean pre, long lastIndex, long lastTerm) implements Message {}

  record VoteReply(long term, boolean pre, boolean granted) implements Message {}

  /**
   * Appends entries after {@code prevIndex}; without entries it is a heartbeat.
   *
   * @param sentAt the leader's monotonic time, echoed in the reply; its lease starts from it
   */
  record Append(
      long term, long prevIndex, long prevTerm, List<LogEntry> entries, long commit, long sentAt)
      implements Message {
    public Append {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Replies to an {@link Append} or an {@link InstallSnapshot}.
   *
   * @param index if accepted, the last index that is synced and matches the leader's log; otherwise
   *     the last index that may match
   */
  record AppendReply(long term, boolean accepted, long index, long sentAt) implements Message {}

  record InstallSnapshot(long term, Snapshot snapshot, long sentAt) implements Message {}

  /** Asks a VM whether its disk is empty and which members it knows. */
  record Probe() implements Message {}

  /**
   * Replies to a {@link Probe}.
   *
   * @param members VMs of the latest membership, among which the leader can be found
   */
  record ProbeReply(boolean blank, Set<VmId> members) implements Message {
    public ProbeReply {
      members = Set.copyOf(members);
    }
  }

  /** Sends the initial membership to a voter with an empty disk. */
  record Form(Membership membership) implements Message {}

  /** Asks to become a learner under the sender's disk id. */
  record Join() implements Message {}
}
