package org.endivemux.control.state;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.vavr.Lazy;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.endivemux.control.state.EntryView.NumberedChange;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayConfigUpdate;
import org.endivemux.wire.Packed;

/**
 * Holds the gateway's configuration with some earlier versions, and the differences between them.
 *
 * <p>Invariants: versions only increase; each difference is computed and encoded once, however many
 * entries need it. Confined to the state machine's thread.
 */
final class GatewayConfigHistory {
  /** An entry that missed more versions is sent the whole configuration. */
  private static final int MAX_VERSIONS = 32;

  /** Recent configurations by revision, decoded on first use. */
  private final TreeMap<Long, Lazy<GatewayConfig>> configs = new TreeMap<>();

  /** Changes to the newest configuration by the revision of the one that they are based on. */
  private final Map<Long, NumberedChange> changes = new HashMap<>();

  private Saved newest = Saved.none();

  /** Stores a configuration; returns the change if it is newer than the stored one. */
  Optional<ViewChange> put(long revision, Command.PutGatewayConfig command) {
    if (command.version() <= newest.version()) {
      return Optional.empty();
    }
    replace(new Saved(revision, command.version(), command.whole(), command.document()));
    return Optional.of(newest.wholeChange());
  }

  private void replace(Saved saved) {
    newest = saved;
    changes.clear();
    configs.put(saved.revision(), Lazy.of(saved::decode));
    while (configs.size() > MAX_VERSIONS) {
      configs.pollFirstEntry();
    }
  }

  /** Returns the revision of the newest configuration; 0 if there is none. */
  long revision() {
    return newest.revision();
  }

  /** Returns the newest configuration. */
  GatewayConfig config() {
    return newest.version() == 0 ? GatewayConfig.none() : configs.get(newest.revision()).get();
  }

  /** Returns the newest configuration as the operator sent it. */
  Optional<Packed> document() {
    return newest.version() == 0 ? Optional.empty() : Optional.of(newest.document());
  }

  /**
   * Returns the change that gives a view at a revision the newest configuration, if it lacks it.
   */
  Optional<NumberedChange> changeSince(long known) {
    if (known >= newest.revision()) {
      return Optional.empty();
    }
    long base = Optional.ofNullable(configs.floorKey(known)).orElse(0L);
    return Optional.of(changes.computeIfAbsent(base, this::changeFrom));
  }

  private NumberedChange changeFrom(long base) {
    return new NumberedChange(
        newest.revision(), base == 0 ? newest.wholeChange() : differenceFrom(configs.get(base)));
  }

  /**
   * Decodes the newest configuration at most, so that the state machine's thread is not held up for
   * longer: from an earlier one that is not decoded yet, the whole is sent instead of a difference.
   */
  private ViewChange differenceFrom(Lazy<GatewayConfig> base) {
    GatewayConfig newer = config();
    if (!base.isEvaluated()) {
      return newest.wholeChange();
    }
    GatewayConfig older = base.get();
    GatewayConfigUpdate update = GatewayConfigUpdate.between(older, newer);
    // Shares the unchanged items with the older version, so that many versions need little memory.
    GatewayConfig sharing = update.applyTo(older);
    configs.put(newest.revision(), Lazy.of(() -> sharing));
    Packed packed = Packed.of(update);
    return packed.size() < newest.whole().size()
        ? new ViewChange.GatewayConfigured(older.version(), packed)
        : newest.wholeChange();
  }

  Saved save() {
    return newest;
  }

  /** Replaces the content; earlier versions are not part of what is saved. */
  void restore(Saved saved) {
    configs.clear();
    changes.clear();
    newest = saved;
    if (saved.version() > 0) {
      replace(saved);
    }
  }

  /** Throws {@link IllegalArgumentException} if a part that this build writes is missing. */
  static void checkFormat(Packed whole, Packed document) {
    if (whole == null || document == null) {
      throw new IllegalArgumentException(
          "An earlier build, with another format, has written this configuration.");
    }
  }

  /**
   * The newest configuration. Immutable and thread-safe.
   *
   * @param whole a {@link GatewayConfigUpdate} that holds it as a whole
   */
  record Saved(
      long revision, long version, Packed whole, @JsonProperty("packedDocument") Packed document) {
    /** Throws {@link IllegalArgumentException} if a build with another format has written it. */
    Saved {
      checkFormat(whole, document);
    }

    static Saved none() {
      Packed whole = Packed.of(GatewayConfigUpdate.whole(GatewayConfig.none()));
      return new Saved(0, 0, whole, Packed.of(new byte[0]));
    }

    private GatewayConfig decode() {
      return whole.unpack(GatewayConfigUpdate.class).applyTo(GatewayConfig.none());
    }

    private ViewChange wholeChange() {
      return new ViewChange.GatewayConfigured(0, whole);
    }
  }
}
