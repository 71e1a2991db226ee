package org.endivemux.wire;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;

/**
 * Holds the TLS contexts of links between VMs; without them links are plain TCP.
 *
 * <p>Invariant: with TLS, both ends must show a certificate of the named authority. Immutable and
 * thread-safe.
 */
public record PeerSecurity(Optional<SslContext> server, Optional<SslContext> client) {
  /** Returns links without TLS, for one machine and for trusted networks. */
  public static PeerSecurity none() {
    return new PeerSecurity(Optional.empty(), Optional.empty());
  }

  /** Returns links with TLS from files in PEM form. */
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
      throw new WireException("The TLS files of peer links can not be used; check them.", e);
    }
  }
}
