package org.endivemux.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;

/** The whole replicated state for a snapshot. Immutable and thread-safe. */
record ControlSnapshot(
    long nowMillis,
    long revision,
    Plans.Saved plans,
    Map<KeyDigest, KeyInfo> keys,
    List<Claim> claims,
    Usage.Saved usage,
    List<Order> orders,
    List<BackendServerId> leaving,
    GatewayConfigHistory.Saved gateway,
    WindowReports.Saved windowReports,
    Evacuations.Saved evacuations,
    StreamVersions.Saved streamVersions) {
  ControlSnapshot {
    // A snapshot of an earlier version has none of these.
    streamVersions = streamVersions == null ? StreamVersions.Saved.initial() : streamVersions;
    evacuations = evacuations == null ? Evacuations.Saved.initial() : evacuations;
  }

  static ControlSnapshot initial() {
    return new ControlSnapshot(
        0,
        0,
        Plans.Saved.initial(),
        Map.of(),
        List.of(),
        Usage.Saved.initial(),
        List.of(),
        new ArrayList<>(),
        GatewayConfigHistory.Saved.none(),
        WindowReports.Saved.initial(),
        Evacuations.Saved.initial(),
        StreamVersions.Saved.initial());
  }
}
