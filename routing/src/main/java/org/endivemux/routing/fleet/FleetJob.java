package org.endivemux.routing.fleet;

import java.util.Set;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.RequestId;
import org.endivemux.model.gateway.ServiceName;

/**
 * Holds what the choice of a backend server for one try depends on.
 *
 * <p>Immutable and thread-safe; times are monotonic nanoseconds.
 *
 * @param urgency rank, 0 is the most urgent
 * @param waitDeadline when the caller is told to come back unless a backend server was found
 * @param longPrompts whether the job's route brings long prompts
 * @param avoid backend servers that earlier tries of the request have used
 */
public record FleetJob(
    RequestId id,
    ServiceName service,
    int urgency,
    long arrivedAt,
    long waitDeadline,
    PromptShape prompt,
    boolean longPrompts,
    Set<BackendServerId> avoid) {
  public FleetJob {
    avoid = Set.copyOf(avoid);
  }
}
