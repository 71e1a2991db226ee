package org.endivemux.control.message;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.endivemux.consensus.Member;
import org.endivemux.control.state.Claim;
import org.endivemux.control.state.CommandResult;
import org.endivemux.control.state.Order;
import org.endivemux.control.state.UsageWindow;
import org.endivemux.control.state.ViewUpdate;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.PartVerdicts;
import org.endivemux.model.gateway.ServerListUpdate;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamOriginSource;
import org.endivemux.wire.Packed;

/** Reply of a voter to a {@link ControlRequest}. All kinds are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlReply.NotLeader.class, name = "not"),
  @JsonSubTypes.Type(value = ControlReply.SubmitReply.class, name = "answer"),
  @JsonSubTypes.Type(value = ControlReply.PollReply.class, name = "news"),
  @JsonSubTypes.Type(value = ControlReply.InForce.class, name = "inforce"),
  @JsonSubTypes.Type(value = ControlReply.ClaimFound.class, name = "claim"),
  @JsonSubTypes.Type(value = ControlReply.Report.class, name = "report"),
  @JsonSubTypes.Type(value = ControlReply.GatewayConfigFound.class, name = "config"),
  @JsonSubTypes.Type(value = ControlReply.StreamVersionFound.class, name = "stream")
})
public sealed interface ControlReply {
  /**
   * The asked VM is not the leader.
   *
   * @param leader VM that is believed to lead, if known
   * @param voters VMs that may lead, as far as the replying VM knows
   */
  record NotLeader(Optional<VmId> leader, List<VmId> voters) implements ControlReply {
    public NotLeader {
      voters = List.copyOf(voters);
    }
  }

  /** The newest gateway configuration as the operator sent it, packed bytes. */
  record GatewayConfigFound(Optional<Packed> document) implements ControlReply {}

  /**
   * Gateway part of a {@link PollReply}. Immutable and thread-safe.
   *
   * @param serversNumber number of the leader's list of backend servers
   * @param servers update of the entry's list of backend servers, when it is out of date
   * @param millis the leader's estimate of true time when it sent this
   * @param voters VMs that may lead
   * @param inFlight what all other entries have in flight, when there are too many entries for them
   *     to exchange it directly
   * @param verdicts conclusions from crashes of backend servers, when the entry's are out of date
   * @param speeds sums over all entries for the backend servers whose samples the poll has
   */
  record GatewayPollReply(
      long serversNumber,
      Optional<ServerListUpdate> servers,
      long millis,
      List<VmId> voters,
      Optional<List<InFlightAt>> inFlight,
      Optional<PartVerdicts> verdicts,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<SpeedAt> speeds) {
    public GatewayPollReply {
      // A leader of an earlier version sends neither of these.
      verdicts = verdicts == null ? Optional.empty() : verdicts;
      speeds = speeds == null ? List.of() : List.copyOf(speeds);
      voters = List.copyOf(voters);
    }

    /** Creates a reply without speeds. */
    public GatewayPollReply(
        long serversNumber,
        Optional<ServerListUpdate> servers,
        long millis,
        List<VmId> voters,
        Optional<List<InFlightAt>> inFlight,
        Optional<PartVerdicts> verdicts) {
      this(serversNumber, servers, millis, voters, inFlight, verdicts, List.of());
    }
  }

  record SubmitReply(@JsonProperty("answer") CommandResult result) implements ControlReply {}

  /**
   * Brings the entry up to date with the time at which it sent its poll.
   *
   * @param term term of the leader; in a new term the entry sends all its usage totals again
   * @param update what brings the entry's view up to date
   * @param entriesNumber number of the leader's list of entries
   * @param entries live entries as packed {@code EntryInfo[]}, when their list has changed
   */
  record PollReply(
      long term,
      ViewUpdate update,
      long entriesNumber,
      Optional<Packed> entries,
      GatewayPollReply gateway)
      implements ControlReply {}

  /**
   * Tells whether a revision is in force.
   *
   * @param everywhere whether it is in force at every entry in contact
   * @param missing entries at which it may not be in force yet
   */
  record InForce(boolean everywhere, List<VmId> missing) implements ControlReply {
    public InForce {
      missing = List.copyOf(missing);
    }
  }

  record ClaimFound(Optional<Claim> claim) implements ControlReply {}

  /** Which software version began a stream, if it is known, and from what. */
  record StreamVersionFound(Optional<SoftwareVersion> version, StreamOriginSource source)
      implements ControlReply {}

  /** State of the leader, for operators. */
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

  /** A live entry and the revision of its view. */
  record EntryState(EntryInfo entry, long revision) {}
}
