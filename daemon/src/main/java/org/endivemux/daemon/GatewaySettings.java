package org.endivemux.daemon;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivemux.model.EntryCapacity;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.VmId;
import org.endivemux.platform.Contracts;
import org.endivemux.routing.fleet.HedgePolicy;
import org.endivemux.routing.fleet.WarmUpLimit;

/**
 * Settings of a process that runs the gateway on the users' platform.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm name of the VM, which identifies it to the platform
 * @param host IP address by which other VMs identify this VM
 * @param listenHost IP address on which the peer port listens, if other VMs reach it through a
 *     forwarder; {@code host} if absent
 * @param peerPort port for other VMs, the same on every VM
 * @param contacts addresses of the VMs to contact first, which form the initial membership; only
 *     their IP addresses are used
 * @param mayForm whether this VM may propose the initial membership while its data folder is empty;
 *     only the contact with the smallest id proposes, so the other VMs ignore this setting
 * @param dataFolder folder of the replicated log; present on voters
 * @param callersAddress address of the callers' endpoint; present on entries
 * @param operatorAddress address of the operators' endpoint; present on voters
 * @param usageWindowSeconds length of a usage window
 * @param retryRatio share of the requests of a service that all entries together may retry
 * @param retrySlack retries allowed beyond that share in a window of {@code retryWindowSeconds}
 * @param drainSeconds time from the stop signal until the process is killed
 * @param serverDrainMillis how long a backend server serves after the platform first lists it as
 *     leaving; until shortly before, it gets streams that can go on nowhere else; 3000 if absent
 * @param serverListLagMillis by how much the platform's list of backend servers may lag; 800 if
 *     absent
 * @param maxServerPauseSeconds longest time for which an entry sends nothing to a backend server
 *     that asks for it; bounds the loss when a server asks for far too long by mistake; 60 if
 *     absent
 * @param coldOverage requests that a cold backend server may get in a second, as a multiple of the
 *     declared rate; 1.5 if absent
 * @param coldSlack requests that a cold backend server may get in a second beyond that; 5 if absent
 * @param entriesLifetimeSeconds how long callers may cache the list of entries
 * @param cores processor share of the VM, in cores; with {@code linkMbps} it determines which part
 *     of the callers the entry gets
 * @param linkMbps bandwidth of the VM's link, in Mbit/s
 * @param hedgeShare requests that an entry may send to a second server before the first one fails,
 *     as a share of its own requests, from 0 to 1; none if absent or 0
 * @param hedgeQuantile quantile of a route's first-byte times after which such a request is sent,
 *     at least 0.5 and less than 1; 0.95 if absent
 * @param contracts names of the platform's contracts in force
 * @param overloadProtection whether urgent requests are protected when capacity is short; if
 *     absent, where a contract asks for it
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record GatewaySettings(
    String vm,
    String failureDomain,
    String host,
    Optional<String> listenHost,
    int peerPort,
    List<String> contacts,
    boolean mayForm,
    Optional<String> dataFolder,
    Optional<String> callersAddress,
    Optional<String> readinessAddress,
    Optional<String> directoryAddress,
    Optional<String> operatorAddress,
    Optional<String> platformAddress,
    double usageWindowSeconds,
    double retryRatio,
    double retryWindowSeconds,
    double retrySlack,
    double drainSeconds,
    Optional<Long> serverDrainMillis,
    Optional<Long> serverListLagMillis,
    Optional<Double> maxServerPauseSeconds,
    Optional<Double> coldOverage,
    Optional<Double> coldSlack,
    double entriesLifetimeSeconds,
    Optional<Double> cores,
    Optional<Double> linkMbps,
    Optional<Double> hedgeShare,
    Optional<Double> hedgeQuantile,
    Optional<List<String>> contracts,
    Optional<Boolean> overloadProtection) {
  private static final long DEFAULT_SERVER_DRAIN_MILLIS = 3000;
  private static final long DEFAULT_SERVER_LIST_LAG_MILLIS = 800;
  private static final double DEFAULT_HEDGE_QUANTILE = 0.95;
  private static final double DEFAULT_MAX_SERVER_PAUSE_SECONDS = 60;
  private static final double DEFAULT_COLD_OVERAGE = 1.5;
  private static final double DEFAULT_COLD_SLACK = 5;
  private static final ObjectMapper YAML = YAMLMapper.builder().addModule(new Jdk8Module()).build();

  /**
   * Reads a file; throws {@link SettingsException} with a one-sentence message if it is invalid.
   */
  static GatewaySettings read(Path file) {
    GatewaySettings settings = parse(file);
    List<String> missing =
        Map.of(
                "vm",
                settings.vm != null,
                "failureDomain",
                settings.failureDomain != null,
                "host",
                settings.host != null,
                "peerPort",
                settings.peerPort > 0,
                "contacts",
                settings.contacts != null && !settings.contacts.isEmpty(),
                "usageWindowSeconds",
                settings.usageWindowSeconds > 0)
            .entrySet()
            .stream()
            .filter(field -> !field.getValue())
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    if (!missing.isEmpty()) {
      throw new SettingsException(file, String.join(", ", missing), "has no value; give it one.");
    }
    checkHedging(settings, file);
    checkServerTimes(settings, file);
    return settings;
  }

  private static void checkServerTimes(GatewaySettings settings, Path file) {
    if (settings.serverDrain().isNegative() || settings.serverListLag().isNegative()) {
      throw new SettingsException(
          file, "serverDrainMillis, serverListLagMillis", "is negative; use 0 or more.");
    }
  }

  private static void checkHedging(GatewaySettings settings, Path file) {
    try {
      var unused = settings.hedgePolicy();
    } catch (IllegalArgumentException e) {
      throw new SettingsException(
          file, "hedgeShare, hedgeQuantile", "is out of range: " + e.getMessage() + ".");
    }
  }

  private static GatewaySettings parse(Path file) {
    try {
      return YAML.readValue(file.toFile(), GatewaySettings.class);
    } catch (IOException e) {
      String problem = e.getMessage().lines().findFirst().orElse("unreadable");
      throw new SettingsException(file, "content", "cannot be read: " + problem);
    }
  }

  /** Returns the id by which other VMs identify this VM: the address of its peer port. */
  VmId peerId() {
    return peerId(host);
  }

  private VmId peerId(String peerHost) {
    return new VmId(peerHost + ":" + peerPort);
  }

  /** Returns the address on which the peer port listens. */
  InetSocketAddress peerListenAddress() {
    return new InetSocketAddress(listenHost.orElse(host), peerPort);
  }

  Set<VmId> contactIds() {
    return contacts.stream()
        .map(contact -> peerId(contact.substring(0, contact.lastIndexOf(':'))))
        .collect(Collectors.toSet());
  }

  FailureDomain domain() {
    return new FailureDomain(failureDomain);
  }

  /** Returns the VM's capacity, if both of its figures are set. */
  Optional<EntryCapacity> capacity() {
    return cores.flatMap(share -> linkMbps.map(link -> new EntryCapacity(share, link)));
  }

  Duration usageWindow() {
    return millis(usageWindowSeconds);
  }

  Duration drain() {
    return millis(drainSeconds);
  }

  Duration entriesLifetime() {
    return millis(entriesLifetimeSeconds);
  }

  Duration serverDrain() {
    return Duration.ofMillis(serverDrainMillis.orElse(DEFAULT_SERVER_DRAIN_MILLIS));
  }

  Duration serverListLag() {
    return Duration.ofMillis(serverListLagMillis.orElse(DEFAULT_SERVER_LIST_LAG_MILLIS));
  }

  Duration maxServerPause() {
    return millis(maxServerPauseSeconds.orElse(DEFAULT_MAX_SERVER_PAUSE_SECONDS));
  }

  /** Returns whether urgent requests are protected when capacity is short. */
  boolean isOverloadProtected() {
    return overloadProtection.orElseGet(
        () -> Contracts.needOverloadProtection(contracts.orElse(List.of())));
  }

  WarmUpLimit.Bounds coldBounds() {
    return new WarmUpLimit.Bounds(
        coldOverage.orElse(DEFAULT_COLD_OVERAGE), coldSlack.orElse(DEFAULT_COLD_SLACK));
  }

  /** Returns when requests are hedged, or empty if they are not. */
  Optional<HedgePolicy> hedgePolicy() {
    return hedgeShare
        .filter(share -> share != 0)
        .map(share -> new HedgePolicy(share, hedgeQuantile.orElse(DEFAULT_HEDGE_QUANTILE)));
  }

  private static Duration millis(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  /** Parses an IP address and a port, such as {@code 127.0.0.1:8081}. */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
