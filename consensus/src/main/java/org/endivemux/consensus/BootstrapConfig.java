package org.endivemux.consensus;

import java.util.Set;
import org.endivemux.model.VmId;

/**
 * Says how a member with an empty disk finds the others. Immutable and thread-safe.
 *
 * @param contacts VMs that are asked first; where the first quorum is formed, exactly these form it
 * @param mayForm whether an empty disk may help to form the first quorum
 * @param openToOthers whether VMs that are not contacts may join
 */
public record BootstrapConfig(Set<VmId> contacts, boolean mayForm, boolean openToOthers) {
  public BootstrapConfig {
    contacts = Set.copyOf(contacts);
  }

  /** Returns the rule for a fixed group of named voters. */
  public static BootstrapConfig fixedVoters(Set<VmId> voters) {
    return new BootstrapConfig(voters, true, false);
  }

  boolean mayJoin(VmId vm) {
    return openToOthers || contacts.contains(vm);
  }
}
