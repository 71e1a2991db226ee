package org.endivemux.control.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.endivemux.consensus.Member;
import org.endivemux.control.state.Claim;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.EntryView;
import org.endivemux.control.state.Order;
import org.endivemux.control.state.UsageWindow;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.ServerListUpdate;

/** Describes the answers of a voter. All kinds are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlReply.NotLeader.class, name = "not"),
  @JsonSubTypes.Type(value = ControlReply.SubmitReply.class, name = "answer"),
  @JsonSubTypes.Type(value = ControlReply.PollReply.class, name = "news"),
  @JsonSubTypes.Type(value = ControlReply.InForce.class, name = "inforce"),
  @JsonSubTypes.Type(value = ControlReply.ClaimFound.class, name = "claim"),
  @JsonSubTypes.Type(value = ControlReply.Report.class, name = "report"),
  @JsonSubTypes.Type(value = ControlReply.GatewayConfigFound.class, name = "config")
})
public sealed interface ControlReply {
  /**
   * Says that another VM may lead.
   *
   * @param voters VMs that may lead, as far as the one that answers knows
   */
  record NotLeader(Optional<VmId> leader, List<VmId> voters) implements ControlReply {
    public NotLeader {
      voters = List.copyOf(voters);
    }
  }

  /** Holds the operator's text of the newest gateway configuration; empty before the first. */
  record GatewayConfigFound(String document) implements ControlReply {}

  /**
   * Holds the gateway's part of the news. Immutable and thread-safe.
   *
   * @param servers what the asker's list of backend servers lacks
   * @param millis the leader's estimate of true time when it sent this
   * @param voters VMs that may lead
   * @param inFlight what all other entries have in flight, when they are too many to tell each
   *     other
   */
  record GatewayPollReply(
      long serversNumber,
      Optional<ServerListUpdate> servers,
      long millis,
      List<VmId> voters,
      Optional<List<InFlightAt>> inFlight) {
    public GatewayPollReply {
      voters = List.copyOf(voters);
    }
  }

  record SubmitReply(@JsonProperty("answer") CommandResult result) implements ControlReply {}

  /**
   * Proves that the asker's state was fresh when it asked, and brings what is new.
   *
   * @param term of the leader; with a new one the entry sends all its usage totals again
   * @param whole the view, when the changes alone do not suffice
   * @param entries live entries, when their list has changed
   */
  record PollReply(
      long term,
      Optional<EntryView.Saved> whole,
      List<EntryView.NumberedChange> changes,
      long entriesNumber,
      Optional<List<EntryInfo>> entries,
      GatewayPollReply gateway)
      implements ControlReply {
    public PollReply {
      changes = List.copyOf(changes);
    }
  }

  /** Says whether a revision is in force, and at which entries it is not. */
  record InForce(boolean everywhere, List<VmId> missing) implements ControlReply {
    public InForce {
      missing = List.copyOf(missing);
    }
  }

  record ClaimFound(Optional<Claim> claim) implements ControlReply {}

  /** Shows the leader's state to operators. */
  record Report(
      VmId leader,
      long term,
      long commit,
      long version,
      long revision,
      List<Member> members,
      List<EntryState> entries,
      int claims,
      List<UsageWindow> windows,
      List<Order> orders)
      implements ControlReply {
    public Report {
      members = List.copyOf(members);
      entries = List.copyOf(entries);
      windows = List.copyOf(windows);
      orders = List.copyOf(orders);
    }
  }

  /** Shows one live entry and the revision that it has. */
  record EntryState(EntryInfo entry, long revision) {}
}
