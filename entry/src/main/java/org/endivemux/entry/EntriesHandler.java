package org.endivemux.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.VmId;
import reactor.core.publisher.Mono;

/**
 * Lists the entries that callers may connect to, those of this entry's failure domain first.
 *
 * <p>Invariant: lists only entries that the leader reports as alive and serving; lists this entry
 * only while its own state is proved to be fresh. Thread-safe.
 */
final class EntriesHandler {
  private static final int OK = 200;

  private final VmId self;
  private final FailureDomain domain;
  private final Supplier<List<EntryInfo>> entries;
  private final BooleanSupplier isFresh;
  private final Duration lifetime;

  EntriesHandler(
      VmId self,
      FailureDomain domain,
      Supplier<List<EntryInfo>> entries,
      BooleanSupplier isFresh,
      Duration lifetime) {
    this.self = self;
    this.domain = domain;
    this.entries = entries;
    this.isFresh = isFresh;
    this.lifetime = lifetime;
  }

  private record Body(
      List<Address> entries, @JsonProperty("lifetime_seconds") long lifetimeSeconds) {}

  private record Address(
      VmId vm, String address, @JsonProperty("failure_domain") FailureDomain failureDomain) {}

  Mono<Void> handle(Exchange exchange) {
    boolean fresh = isFresh.getAsBoolean();
    List<Address> addresses =
        entries.get().stream()
            .filter(EntryInfo::serving)
            .filter(entry -> fresh || !entry.vm().equals(self))
            .sorted(
                Comparator.comparing((EntryInfo entry) -> !entry.failureDomain().equals(domain))
                    .thenComparing(EntryInfo::vm))
            .map(e -> new Address(e.vm(), e.httpAddress(), e.failureDomain()))
            .toList();
    return exchange.json(OK, new Body(addresses, lifetime.toSeconds()));
  }
}
