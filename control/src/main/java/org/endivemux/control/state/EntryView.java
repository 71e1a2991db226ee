package org.endivemux.control.state;

import io.vavr.Lazy;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Declaration;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.model.gateway.GatewayConfigUpdate;

/**
 * The part of the replicated state on which entries base their decisions.
 *
 * <p>Invariant: the revision is the log index of the last change that was applied. Immutable and
 * thread-safe; {@link #apply} shares the unchanged parts with the new view.
 */
public final class EntryView {
  private final long revision;
  private final long version;
  private final Declaration declaration;
  private final HashMap<KeyDigest, KeyInfo> keys;
  private final HashSet<BackendServerId> leaving;
  private final HashSet<FailureDomain> evacuated;
  private final Lazy<GatewayConfig> gateway;

  private EntryView(
      long revision,
      long version,
      Declaration declaration,
      HashMap<KeyDigest, KeyInfo> keys,
      HashSet<BackendServerId> leaving,
      HashSet<FailureDomain> evacuated,
      Lazy<GatewayConfig> gateway) {
    this.revision = revision;
    this.version = version;
    this.declaration = declaration;
    this.keys = keys;
    this.leaving = leaving;
    this.evacuated = evacuated;
    this.gateway = gateway;
  }

  /** Returns the view before any change. */
  public static EntryView empty() {
    return new EntryView(
        0,
        0,
        Declaration.empty(),
        HashMap.empty(),
        HashSet.empty(),
        HashSet.empty(),
        Lazy.of(GatewayConfig::none));
  }

  /** Returns the view with the saved content and without a configuration of the gateway. */
  public static EntryView of(Saved saved) {
    return new EntryView(
        saved.revision(),
        saved.version(),
        saved.declaration(),
        HashMap.ofAll(saved.keys()),
        HashSet.ofAll(saved.leaving()),
        HashSet.ofAll(saved.evacuated()),
        Lazy.of(GatewayConfig::none));
  }

  /** Returns the view after a change at a revision. */
  public EntryView apply(long newRevision, ViewChange change) {
    if (change instanceof ViewChange.Configured it) {
      Declaration changed = it.delta().applyTo(declaration);
      return new EntryView(newRevision, it.version(), changed, keys, leaving, evacuated, gateway);
    }
    if (change instanceof ViewChange.KeyChanged it) {
      var changed = keys.put(it.digest(), it.info());
      return new EntryView(newRevision, version, declaration, changed, leaving, evacuated, gateway);
    }
    if (change instanceof ViewChange.GatewayConfigured it) {
      return new EntryView(
          newRevision, version, declaration, keys, leaving, evacuated, updated(it));
    }
    if (change instanceof ViewChange.EvacuationChanged it) {
      var changed =
          it.evacuated() ? evacuated.add(it.failureDomain()) : evacuated.remove(it.failureDomain());
      return new EntryView(newRevision, version, declaration, keys, leaving, changed, gateway);
    }
    ViewChange.LeavingChanged it = (ViewChange.LeavingChanged) change;
    var changed =
        it.leaving() ? leaving.add(it.backendServer()) : leaving.remove(it.backendServer());
    return new EntryView(newRevision, version, declaration, keys, changed, evacuated, gateway);
  }

  /** A whole configuration is decoded on first use, since most voters never need it. */
  private Lazy<GatewayConfig> updated(ViewChange.GatewayConfigured change) {
    if (change.base() == 0) {
      return Lazy.of(() -> update(change).applyTo(GatewayConfig.none()));
    }
    GatewayConfig changed = update(change).applyTo(gateway.get());
    return Lazy.of(() -> changed);
  }

  private static GatewayConfigUpdate update(ViewChange.GatewayConfigured change) {
    return change.update().unpack(GatewayConfigUpdate.class);
  }

  public long revision() {
    return revision;
  }

  /** Returns the version of the configuration. */
  public long version() {
    return version;
  }

  public Declaration declaration() {
    return declaration;
  }

  /** Returns the key with a digest, withdrawn or not. */
  public Optional<KeyInfo> key(KeyDigest digest) {
    return keys.get(digest).toJavaOptional();
  }

  /** Returns all keys by digest. */
  public Map<KeyDigest, KeyInfo> keys() {
    return keys.toJavaMap();
  }

  /** Returns whether a backend server is leaving and gets no new requests. */
  public boolean isLeaving(BackendServerId id) {
    return leaving.contains(id);
  }

  /** Returns the failure domains whose backend servers get no new requests. */
  public Set<FailureDomain> evacuated() {
    return evacuated.toJavaSet();
  }

  /** Returns the gateway configuration in force. */
  public GatewayConfig gateway() {
    return gateway.get();
  }

  /** Returns the content except for the gateway's configuration, to be sent to an entry. */
  public Saved save() {
    return new Saved(
        revision,
        version,
        declaration,
        keys.toJavaMap(),
        leaving.toJavaSet(),
        evacuated.toJavaSet());
  }

  /**
   * A whole view without the gateway's configuration, as sent to an entry. Immutable and
   * thread-safe.
   */
  public record Saved(
      long revision,
      long version,
      Declaration declaration,
      Map<KeyDigest, KeyInfo> keys,
      Set<BackendServerId> leaving,
      Set<FailureDomain> evacuated) {
    public Saved {
      // A leader of an earlier version sends none.
      evacuated = evacuated == null ? Set.of() : evacuated;
    }
  }

  /** A change with its revision. Immutable and thread-safe. */
  public record NumberedChange(long revision, ViewChange change) {}

  /** Returns the view after an update; the revision does not decrease within an update. */
  public EntryView apply(ViewUpdate update) {
    EntryView view = update.whole().map(EntryView::of).orElse(this);
    for (NumberedChange numbered : update.changes()) {
      view = view.apply(Math.max(view.revision(), numbered.revision()), numbered.change());
    }
    return view;
  }
}
