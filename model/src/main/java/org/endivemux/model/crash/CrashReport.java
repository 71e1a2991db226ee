package org.endivemux.model.crash;

import java.util.List;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.PromptPartId;

/**
 * Tells under which prompt parts a backend server crashed, as seen by one entry. Immutable and
 * thread-safe.
 *
 * @param ageMillis time since the crash
 * @param parts shared parts of the prompts that were cut off and that the entry has not seen
 *     completed since; none when the crash had another cause
 */
public record CrashReport(BackendServerId server, long ageMillis, List<PromptPartId> parts) {
  public CrashReport {
    parts = List.copyOf(parts);
  }
}
