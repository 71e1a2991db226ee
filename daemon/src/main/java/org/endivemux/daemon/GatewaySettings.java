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
import org.endivemux.model.FailureDomain;
import org.endivemux.model.VmId;

/**
 * Holds the settings of a process that runs the gateway on the users' platform.
 *
 * <p>Immutable and thread-safe.
 *
 * @param vm name of the VM, under which it calls the platform
 * @param host IP number under which other VMs know this one
 * @param listenHost IP number on which the peer port is opened, where others reach it through
 *     something that forwards; {@code host} if absent
 * @param peerPort port for other VMs, the same on each
 * @param contacts addresses of VMs that may lead; only their IP numbers are used
 * @param mayForm whether an empty data folder may help to form the first quorum
 * @param dataFolder present on voters
 * @param callersAddress present on entries
 * @param operatorAddress present on voters
 * @param usageWindowSeconds length of a usage window
 * @param retryRatio share of its requests that a service may get again, from all entries together
 * @param retrySlack repeats beyond that share in a window of {@code retryWindowSeconds}
 * @param drainSeconds time from a request to stop until the process is killed
 * @param entriesLifetimeSeconds how long callers may keep the list of entries
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
    double entriesLifetimeSeconds) {
  private static final ObjectMapper YAML = YAMLMapper.builder().addModule(new Jdk8Module()).build();

  /** Reads a file; throws {@link SettingsException} with one sentence when it can not be used. */
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
    return settings;
  }

  private static GatewaySettings parse(Path file) {
    try {
      return YAML.readValue(file.toFile(), GatewaySettings.class);
    } catch (IOException e) {
      String why = e.getMessage().lines().findFirst().orElse("unreadable");
      throw new SettingsException(file, "content", "can not be read: " + why);
    }
  }

  /** Returns the id under which other VMs know this one: the address of its peer port. */
  VmId peerId() {
    return peerId(host);
  }

  private VmId peerId(String ofHost) {
    return new VmId(ofHost + ":" + peerPort);
  }

  /** Returns where the port for other VMs is opened. */
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

  Duration usageWindow() {
    return millis(usageWindowSeconds);
  }

  Duration drain() {
    return millis(drainSeconds);
  }

  Duration entriesLifetime() {
    return millis(entriesLifetimeSeconds);
  }

  private static Duration millis(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  /** Returns the socket address of a text with an IP number and a port. */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
