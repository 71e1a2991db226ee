package org.endivemux.control.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;
import org.endivemux.model.gateway.GatewayConfigUpdate;
import org.endivemux.wire.Packed;

/** Change of an {@link EntryView}. All implementations are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ViewChange.Configured.class, name = "c"),
  @JsonSubTypes.Type(value = ViewChange.KeyChanged.class, name = "k"),
  @JsonSubTypes.Type(value = ViewChange.LeavingChanged.class, name = "l"),
  @JsonSubTypes.Type(value = ViewChange.GatewayConfigured.class, name = "g"),
  @JsonSubTypes.Type(value = ViewChange.EvacuationChanged.class, name = "e")
})
public sealed interface ViewChange {
  record Configured(long version, DeclarationDelta delta) implements ViewChange {}

  record KeyChanged(KeyDigest digest, KeyInfo info) implements ViewChange {}

  /**
   * Changes the gateway's configuration.
   *
   * @param base version that the update is based on; 0 if it holds the whole configuration
   * @param update a {@link GatewayConfigUpdate}
   */
  record GatewayConfigured(long base, Packed update) implements ViewChange {}

  record LeavingChanged(BackendServerId backendServer, boolean leaving) implements ViewChange {}

  /** Starts or ends an evacuation; readers of earlier builds do not know this change. */
  record EvacuationChanged(FailureDomain failureDomain, boolean evacuated) implements ViewChange {}
}
