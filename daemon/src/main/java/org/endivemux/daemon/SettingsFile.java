package org.endivemux.daemon;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.Optional;

/** Content of a settings file, parsed but not yet validated. Immutable and thread-safe. */
record SettingsFile(
    @JsonProperty("vm") Optional<String> vm,
    @JsonProperty("failureDomain") Optional<String> failureDomain,
    @JsonProperty("httpAddress") Optional<String> httpAddress,
    @JsonProperty("peerAddress") Optional<String> peerAddress,
    @JsonProperty("dataFolder") Optional<String> dataFolder,
    @JsonProperty("controlOnly") Optional<Boolean> controlOnly,
    @JsonProperty("voters") Optional<Map<String, String>> voters,
    @JsonProperty("platform") Optional<String> platform,
    @JsonProperty("operatorKeyDigest") Optional<String> operatorKeyDigest,
    @JsonProperty("policy") Optional<String> policy,
    @JsonProperty("entriesLifetimeSeconds") Optional<Integer> entriesLifetimeSeconds,
    @JsonProperty("usageWindowSeconds") Optional<Integer> usageWindowSeconds,
    @JsonProperty("drainSeconds") Optional<Integer> drainSeconds,
    @JsonProperty("firstByteMillis") Optional<Integer> firstByteMillis,
    @JsonProperty("betweenBytesMillis") Optional<Integer> betweenBytesMillis,
    @JsonProperty("bodyBytes") Optional<Integer> bodyBytes,
    @JsonProperty("tls") Optional<TlsFiles> tls) {

  /** PEM files that secure the links between VMs. Immutable and thread-safe. */
  record TlsFiles(
      @JsonProperty("certificate") String certificate,
      @JsonProperty("key") String key,
      @JsonProperty("authority") String authority) {}
}
