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
 * Keeps the digests of all keys.
 *
 * <p>Invariant: a withdrawn key stays withdrawn. Confined to the state machine's thread.
 */
final class KeyTable {
  private static final int MIN_PREFIX = 8;

  private final TreeMap<KeyDigest, KeyInfo> keys = new TreeMap<>();

  CommandResult create(CreateKey command) {
    KeyInfo made = new KeyInfo(command.organisation(), command.role(), false, command.label());
    KeyInfo known = keys.putIfAbsent(command.digest(), made);
    if (known == null || known.equals(made)) {
      return new CommandResult.Done();
    }
    return new CommandResult.Refused(
        known.withdrawn() ? Reason.KEY_WITHDRAWN : Reason.WRONG_KEY,
        "This key exists already and can not be made again.");
  }

  /** Withdraws a key and returns it with its digest, or the refusal. */
  Withdrawal withdraw(WithdrawKey command) {
    List<Map.Entry<KeyDigest, KeyInfo>> found =
        command.digestPrefix().length() < MIN_PREFIX
            ? List.of()
            : keys.entrySet().stream()
                .filter(key -> key.getKey().value().startsWith(command.digestPrefix()))
                .toList();
    if (found.size() != 1) {
      return new Withdrawal(
          Optional.empty(),
          new CommandResult.Refused(
              Reason.KEY_UNKNOWN,
              "Name a key by at least "
                  + MIN_PREFIX
                  + " digits of its digest; "
                  + found.size()
                  + " keys match."));
    }
    KeyDigest digest = found.get(0).getKey();
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

  /** Holds a withdrawal's answer and the digest that it touched. Immutable. */
  record Withdrawal(Optional<KeyDigest> digest, CommandResult answer) {}
}
