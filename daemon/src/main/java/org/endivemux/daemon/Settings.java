package org.endivemux.daemon;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.endivemux.entry.Limits;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.VmId;

/**
 * Validated settings of one process.
 *
 * <p>Invariants: a process with a data folder is one of the configured voters; a control-only
 * process is a voter and is never listed to callers. Immutable and thread-safe.
 */
public record Settings(
    VmId vm,
    FailureDomain failureDomain,
    InetSocketAddress httpAddress,
    InetSocketAddress peerAddress,
    Optional<Path> dataFolder,
    boolean controlOnly,
    Map<VmId, InetSocketAddress> voters,
    Optional<String> platform,
    Optional<KeyDigest> operatorKeyDigest,
    String policy,
    Duration usageWindow,
    Limits limits,
    Optional<Tls> tls) {
  /** PEM files that secure the links between VMs. Immutable and thread-safe. */
  public record Tls(Path certificate, Path key, Path authority) {}
}
