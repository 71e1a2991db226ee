package org.endivemux.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.endivemux.entry.Limits;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.VmId;
import org.endivemux.routing.SelectionPolicies;

/**
 * Reads and validates a settings file.
 *
 * <p>Invariant: the first error is reported in one sentence that names the file, the key and the
 * remedy. Stateless and thread-safe.
 */
public final class SettingsReader {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final YAMLMapper YAML = YAMLMapper.builder().addModule(new Jdk8Module()).build();
  private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:]+]");
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final int MAX_PORT = 65535;

  private final Path file;

  private SettingsReader(Path file) {
    this.file = file;
  }

  /** Returns the settings of a file; throws {@link SettingsException} if they are invalid. */
  public static Settings read(Path file) {
    return new SettingsReader(file).readAndValidate();
  }

  private Settings readAndValidate() {
    SettingsFile raw = parse();
    warnIfReadableByOthers(raw);
    Map<VmId, InetSocketAddress> voters = voters(raw);
    VmId vm = parseId("vm", required("vm", raw.vm()), VmId::new);
    Optional<Path> dataFolder = raw.dataFolder().map(Path::of);
    checkVoter(vm, voters, dataFolder);
    checkControlOnly(raw, dataFolder);
    return new Settings(
        vm,
        parseId(
            "failureDomain", required("failureDomain", raw.failureDomain()), FailureDomain::new),
        address("httpAddress", required("httpAddress", raw.httpAddress())),
        address("peerAddress", required("peerAddress", raw.peerAddress())),
        dataFolder,
        raw.controlOnly().orElse(false),
        voters,
        raw.platform().map(text -> checkedAddress("platform", text)),
        raw.operatorKeyDigest().map(this::digest),
        policy(raw),
        seconds("usageWindowSeconds", raw.usageWindowSeconds(), Duration.ofMinutes(1)),
        limits(raw),
        raw.tls().map(this::tls));
  }

  private SettingsFile parse() {
    try {
      byte[] text = Files.readAllBytes(file);
      if (YAML.readTree(text).isEmpty()) {
        throw invalid("file", "it holds no settings; write them as key: value lines.");
      }
      return YAML.readValue(text, SettingsFile.class);
    } catch (UnrecognizedPropertyException e) {
      throw invalid(e.getPropertyName(), "this key is unknown; correct or remove it.");
    } catch (JsonMappingException e) {
      throw invalid(pathOf(e), "the value has the wrong type or unit; " + typeRemedy(e));
    } catch (JsonProcessingException e) {
      throw invalid("line " + lineOf(e), "this is not YAML; correct it.");
    } catch (IOException e) {
      throw invalid("file", "it cannot be read; check the path and its permissions.");
    }
  }

  private static String typeRemedy(JsonMappingException e) {
    return pathOf(e).endsWith("Seconds")
            || pathOf(e).endsWith("Millis")
            || pathOf(e).endsWith("Bytes")
        ? "write a whole number in the unit that the key ends with."
        : "see the documentation page on settings for its format.";
  }

  private static String pathOf(JsonMappingException e) {
    return e.getPath().stream()
        .map(JsonMappingException.Reference::getFieldName)
        .filter(name -> name != null)
        .collect(Collectors.joining("."));
  }

  private static int lineOf(JsonProcessingException e) {
    return Optional.ofNullable(e.getLocation()).map(at -> at.getLineNr()).orElse(0);
  }

  private void warnIfReadableByOthers(SettingsFile raw) {
    try {
      boolean isReadableByOthers =
          Files.getPosixFilePermissions(file).contains(PosixFilePermission.OTHERS_READ);
      if (isReadableByOthers && raw.tls().isPresent()) {
        logger.atWarning().log(
            "event=settings_open file=%s remedy=\"remove read permission for others\"", file);
      }
    } catch (IOException | UnsupportedOperationException e) {
      logger.atFine().log("event=permissions_unknown file=%s", file);
    }
  }

  private Map<VmId, InetSocketAddress> voters(SettingsFile raw) {
    Map<String, String> configured = required("voters", raw.voters());
    if (configured.isEmpty() || configured.size() % 2 == 0) {
      throw invalid("voters", "list one, three, five or seven VMs with their peer addresses.");
    }
    return configured.entrySet().stream()
        .collect(
            Collectors.toMap(
                e -> parseId("voters", e.getKey(), VmId::new),
                e -> address("voters." + e.getKey(), String.valueOf(e.getValue()))));
  }

  private void checkVoter(VmId vm, Map<VmId, InetSocketAddress> voters, Optional<Path> dataFolder) {
    if (voters.containsKey(vm) && dataFolder.isEmpty()) {
      throw invalid("dataFolder", "this VM is a voter; set the folder for its state.");
    }
    if (!voters.containsKey(vm) && dataFolder.isPresent()) {
      throw invalid(
          "dataFolder", "this VM is not a voter; remove the key or add the VM to voters.");
    }
  }

  private void checkControlOnly(SettingsFile raw, Optional<Path> dataFolder) {
    if (raw.controlOnly().orElse(false) && dataFolder.isEmpty()) {
      throw invalid(
          "controlOnly", "this VM is not a voter, so it would do nothing; remove the key.");
    }
  }

  private String policy(SettingsFile raw) {
    String policy = raw.policy().orElse("least-cost");
    try {
      SelectionPolicies.named(policy);
      return policy;
    } catch (IllegalArgumentException e) {
      throw invalid("policy", e.getMessage());
    }
  }

  private Limits limits(SettingsFile raw) {
    Limits standard = Limits.standard();
    return new Limits(
        raw.bodyBytes().map(n -> positive("bodyBytes", n)).orElse(standard.bodyBytes()),
        standard.headerBytes(),
        standard.outcomeBytes(),
        standard.connect(),
        millis("firstByteMillis", raw.firstByteMillis(), standard.firstByte()),
        millis("betweenBytesMillis", raw.betweenBytesMillis(), standard.betweenBytes()),
        standard.keepAlive(),
        standard.control(),
        seconds("entriesLifetimeSeconds", raw.entriesLifetimeSeconds(), standard.entriesLifetime()),
        seconds("drainSeconds", raw.drainSeconds(), standard.drain()));
  }

  private Duration seconds(String key, Optional<Integer> value, Duration standard) {
    return value.map(n -> Duration.ofSeconds(positive(key, n))).orElse(standard);
  }

  private Duration millis(String key, Optional<Integer> value, Duration standard) {
    return value.map(n -> Duration.ofMillis(positive(key, n))).orElse(standard);
  }

  private int positive(String key, int value) {
    if (value <= 0) {
      throw invalid(key, "it must be a whole number above 0.");
    }
    return value;
  }

  private KeyDigest digest(String text) {
    if (!DIGEST.matcher(text).matches()) {
      throw invalid(
          "operatorKeyDigest",
          "write the SHA-256 of the key as 64 hexadecimal digits, not the key itself.");
    }
    return new KeyDigest(text);
  }

  private Settings.Tls tls(SettingsFile.TlsFiles files) {
    return new Settings.Tls(
        readable("tls.certificate", files.certificate()),
        readable("tls.key", files.key()),
        readable("tls.authority", files.authority()));
  }

  private Path readable(String key, String text) {
    Path path = Path.of(required(key, Optional.ofNullable(text)));
    if (!Files.isReadable(path)) {
      throw invalid(key, "the file " + path + " cannot be read; check the path.");
    }
    return path;
  }

  private String checkedAddress(String key, String text) {
    address(key, text);
    return text;
  }

  private InetSocketAddress address(String key, String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (IP_ADDRESS.matcher(host).matches() && port > 0 && port <= MAX_PORT) {
        return new InetSocketAddress(InetAddress.getByName(host), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      throw invalid(key, "write an IP number and a port, such as 127.0.0.1:8081.");
    }
    throw invalid(key, "write an IP number and a port, such as 127.0.0.1:8081.");
  }

  private <T> T parseId(String key, String text, Function<String, T> constructor) {
    try {
      return constructor.apply(text);
    } catch (IllegalArgumentException e) {
      throw invalid(key, e.getMessage());
    }
  }

  private <T> T required(String key, Optional<T> value) {
    return value.orElseThrow(() -> invalid(key, "this key is missing; add it."));
  }

  private SettingsException invalid(String key, String remedy) {
    return new SettingsException(file, key, remedy);
  }
}
