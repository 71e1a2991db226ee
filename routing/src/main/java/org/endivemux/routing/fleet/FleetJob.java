package org.endivemux.routing.fleet;

import java.util.Optional;
import java.util.Set;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;

/**
 * Holds the inputs for selecting the backend server of one attempt.
 *
 * <p>Immutable and thread-safe; times are monotonic nanoseconds.
 *
 * @param urgency rank, 0 is the most urgent
 * @param waitDeadline when the request is refused with a retry hint if no server was found
 * @param longPrompts whether the prompts of the job's route are long
 * @param pauseMillis longest pause between events that counts as on time; 0 when not declared
 * @param organisation organisation whose key came with the request, if any
 * @param avoid backend servers that earlier attempts of the request have used
 * @param version version of the software whose servers alone may run the job, since they began its
 *     stream; empty if any server may
 */
public record FleetJob(
    RequestId id,
    ServiceName service,
    int urgency,
    long arrivedAt,
    long waitDeadline,
    PromptShape prompt,
    boolean longPrompts,
    long pauseMillis,
    Optional<OrganisationId> organisation,
    Set<BackendServerId> avoid,
    Optional<SoftwareVersion> version) {
  public FleetJob {
    avoid = Set.copyOf(avoid);
  }

  /** Creates a job without an organisation, whose route declares no longest pause. */
  public FleetJob(
      RequestId id,
      ServiceName service,
      int urgency,
      long arrivedAt,
      long waitDeadline,
      PromptShape prompt,
      boolean longPrompts,
      Set<BackendServerId> avoid) {
    this(
        id,
        service,
        urgency,
        arrivedAt,
        waitDeadline,
        prompt,
        longPrompts,
        0,
        Optional.empty(),
        avoid,
        Optional.empty());
  }

  /** Returns whether the job continues a stream that servers of one version began. */
  boolean continuesStream() {
    return version.isPresent();
  }

  /** Returns whether the version of a server's software allows it to run the job. */
  boolean isVersionAllowed(GatewayServer server) {
    return version.isEmpty() || version.equals(server.version());
  }
}
