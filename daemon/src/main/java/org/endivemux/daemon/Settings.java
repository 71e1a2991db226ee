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
 * Holds checked settings of one process.
 *
 * <p>Invariant: a process with a data folder is one of the named voters. Immutable and thread-safe.
 */
public record Settings(
    VmId vm,
    FailureDomain failureDomain,
    InetSocketAddress httpAddress,
    InetSocketAddress peerAddress,
    Optional<Path> dataFolder,
    Map<VmId, InetSocketAddress> voters,
    Optional<String> platform,
    Optional<KeyDigest> operatorKeyDigest,
    String policy,
    Duration usageWindow,
    Limits limits,
    Optional<Tls> tls) {
  /** Names the files in PEM form for links between VMs. Immutable and thread-safe. */
  public record Tls(Path certificate, Path key, Path authority) {}
}
