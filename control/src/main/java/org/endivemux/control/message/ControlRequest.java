package org.endivemux.control.message;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.endivemux.control.state.Command;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.UsageLine;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.gateway.ServiceLoad;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamStarts;
import org.endivemux.model.gateway.WindowCount;

/** Request of a VM to the control leader. All kinds are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlRequest.Submit.class, name = "submit"),
  @JsonSubTypes.Type(value = ControlRequest.Poll.class, name = "poll"),
  @JsonSubTypes.Type(value = ControlRequest.AwaitInForce.class, name = "await"),
  @JsonSubTypes.Type(value = ControlRequest.FindClaim.class, name = "find"),
  @JsonSubTypes.Type(value = ControlRequest.ReadReport.class, name = "report"),
  @JsonSubTypes.Type(value = ControlRequest.ReadGatewayConfig.class, name = "config"),
  @JsonSubTypes.Type(value = ControlRequest.FindStreamVersion.class, name = "stream")
})
public sealed interface ControlRequest {
  record Submit(Command command) implements ControlRequest {}

  /**
   * Asks for changes and serves as the entry's heartbeat.
   *
   * @param revision revision of the entry's view
   * @param entriesNumber number of the entry's list of entries
   * @param usage running totals that the leader has not committed yet; the reply is sent once they
   *     are
   * @param gateway the gateway's part of the poll
   * @param unansweredMillis time since the entry sent the last poll that was answered, or since its
   *     start
   */
  record Poll(
      EntryInfo entry,
      long revision,
      long entriesNumber,
      List<UsageLine> usage,
      GatewayPoll gateway,
      long unansweredMillis)
      implements ControlRequest {
    public Poll {
      usage = List.copyOf(usage);
    }
  }

  /** Waits until a revision is in force at every entry in contact, or until the limit. */
  record AwaitInForce(long revision, long limitMillis) implements ControlRequest {}

  record FindClaim(OrganisationId organisation, IdempotencyKey key) implements ControlRequest {}

  record ReadReport() implements ControlRequest {}

  /** Asks for the newest gateway configuration as the operator sent it. */
  record ReadGatewayConfig() implements ControlRequest {}

  /**
   * Asks which software version began a stream; leaders of an earlier version fail to read it.
   *
   * @param stream the stream, if the caller has named it
   * @param lifetimeMillis how long a stream of the request's route may last, resumptions included
   */
  record FindStreamVersion(ServiceName service, Optional<StreamKey> stream, long lifetimeMillis)
      implements ControlRequest {}

  /**
   * Gateway part of a {@link Poll}. Immutable and thread-safe.
   *
   * @param serversNumber number of the entry's list of backend servers
   * @param counts running totals of recent usage windows
   * @param wallMillis the entry's wall-clock time when it sent this; 0 without a gateway
   * @param loads number of requests that the entry has for each service
   * @param inFlight what the entry has in flight at each backend server
   * @param leaving backend servers that told the entry that they leave
   * @param crashes what the entry knows of crashes of backend servers
   * @param speeds samples of the speed of some backend servers, in turn
   * @param refusing backend servers with a warm-up that refused connections of the entry lately
   * @param streams streams that have begun and whose versions the leader does not know yet
   */
  record GatewayPoll(
      long serversNumber,
      List<WindowCount> counts,
      long wallMillis,
      List<ServiceLoad> loads,
      List<InFlightAt> inFlight,
      List<BackendServerId> leaving,
      CrashNews crashes,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<SpeedAt> speeds,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<BackendServerId> refusing,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<StreamStarts> streams) {
    public GatewayPoll {
      // A process of an earlier version sends none of these.
      streams = streams == null ? List.of() : List.copyOf(streams);
      refusing = refusing == null ? List.of() : List.copyOf(refusing);
      speeds = speeds == null ? List.of() : List.copyOf(speeds);
      leaving = leaving == null ? List.of() : List.copyOf(leaving);
      crashes = crashes == null ? CrashNews.none() : crashes;
      inFlight = List.copyOf(inFlight);
      counts = List.copyOf(counts);
      loads = List.copyOf(loads);
    }

    /** Returns the part of an entry that has no gateway. */
    public static GatewayPoll none() {
      return new GatewayPoll(
          0,
          List.of(),
          0,
          List.of(),
          List.of(),
          List.of(),
          CrashNews.none(),
          List.of(),
          List.of(),
          List.of());
    }
  }
}
