package org.endivemux.wire;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;

/**
 * Holds the TLS contexts of links between VMs; without them, links use plain TCP.
 *
 * <p>Invariant: with TLS, each end must present a certificate issued by the configured authority.
 * Immutable and thread-safe.
 */
public record PeerSecurity(Optional<SslContext> server, Optional<SslContext> client) {
  /** Returns settings without TLS, for use on one machine or in a trusted network. */
  public static PeerSecurity none() {
    return new PeerSecurity(Optional.empty(), Optional.empty());
  }

  /** Returns settings with mutual TLS, read from PEM files. */
  public static PeerSecurity of(Path certificate, Path key, Path authority) {
    File cert = certificate.toFile();
    File privateKey = key.toFile();
    File trusted = authority.toFile();
    try {
      SslContext server =
          SslContextBuilder.forServer(cert, privateKey)
              .trustManager(trusted)
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      SslContext client =
          SslContextBuilder.forClient()
              .keyManager(cert, privateKey)
              .trustManager(trusted)
              .endpointIdentificationAlgorithm(null)
              .build();
      return new PeerSecurity(Optional.of(server), Optional.of(client));
    } catch (SSLException | IllegalArgumentException e) {
      throw new WireException(
          "The TLS files of peer links cannot be used; check the certificate, key and authority.",
          e);
    }
  }
}
