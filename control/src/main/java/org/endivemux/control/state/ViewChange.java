package org.endivemux.control.state;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;
import org.endivemux.model.gateway.GatewayConfig;

/** Change of an {@link EntryView}. All implementations are immutable and thread-safe. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ViewChange.Configured.class, name = "c"),
  @JsonSubTypes.Type(value = ViewChange.KeyChanged.class, name = "k"),
  @JsonSubTypes.Type(value = ViewChange.LeavingChanged.class, name = "l"),
  @JsonSubTypes.Type(value = ViewChange.GatewayConfigured.class, name = "g")
})
public sealed interface ViewChange {
  record Configured(long version, DeclarationDelta delta) implements ViewChange {}

  record KeyChanged(KeyDigest digest, KeyInfo info) implements ViewChange {}

  /** Replaces the gateway's configuration and so all earlier changes of it. */
  record GatewayConfigured(GatewayConfig config) implements ViewChange {}

  record LeavingChanged(BackendServerId backendServer, boolean leaving) implements ViewChange {}
}
