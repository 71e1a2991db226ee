package org.endivemux.control.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.endivemux.control.state.Command.CreateKey;
import org.endivemux.control.state.Command.WithdrawKey;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;
import org.endivemux.model.Reason;

/**
 * Stores all keys by their digests.
 *
 * <p>Invariant: a withdrawn key stays withdrawn. Confined to the state machine's thread.
 */
final class KeyTable {
  private static final int MIN_PREFIX_LENGTH = 8;

  private final TreeMap<KeyDigest, KeyInfo> keys = new TreeMap<>();

  CommandResult create(CreateKey command) {
    KeyInfo created = new KeyInfo(command.organisation(), command.role(), false, command.label());
    KeyInfo existing = keys.putIfAbsent(command.digest(), created);
    if (existing == null || existing.equals(created)) {
      return new CommandResult.Done();
    }
    return new CommandResult.Refused(
        existing.withdrawn() ? Reason.KEY_WITHDRAWN : Reason.WRONG_KEY,
        "This key already exists and cannot be created again.");
  }

  /** Withdraws the key with a digest prefix; refuses unless exactly one key matches. */
  Withdrawal withdraw(WithdrawKey command) {
    List<Map.Entry<KeyDigest, KeyInfo>> matches =
        command.digestPrefix().length() < MIN_PREFIX_LENGTH
            ? List.of()
            : keys.entrySet().stream()
                .filter(key -> key.getKey().value().startsWith(command.digestPrefix()))
                .toList();
    if (matches.size() != 1) {
      return new Withdrawal(
          Optional.empty(),
          new CommandResult.Refused(
              Reason.KEY_UNKNOWN,
              "Specify the key by at least "
                  + MIN_PREFIX_LENGTH
                  + " characters of its digest; "
                  + matches.size()
                  + " keys match."));
    }
    KeyDigest digest = matches.get(0).getKey();
    keys.computeIfPresent(digest, (same, info) -> info.withdraw());
    return new Withdrawal(Optional.of(digest), new CommandResult.Done());
  }

  Map<KeyDigest, KeyInfo> all() {
    return keys;
  }

  void restore(Map<KeyDigest, KeyInfo> saved) {
    keys.clear();
    keys.putAll(saved);
  }

  /** The result of a withdrawal, with the digest of the withdrawn key. Immutable. */
  record Withdrawal(Optional<KeyDigest> digest, CommandResult result) {}
}
