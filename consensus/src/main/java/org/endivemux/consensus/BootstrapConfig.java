package org.endivemux.consensus;

import java.util.Set;
import org.endivemux.model.VmId;

/**
 * Configures how a member with an empty disk finds the others. Immutable and thread-safe.
 *
 * @param contacts VMs that are asked first; the initial membership consists of exactly these
 * @param mayForm whether this member may propose the initial membership
 * @param openToOthers whether VMs that are not contacts may join
 */
public record BootstrapConfig(Set<VmId> contacts, boolean mayForm, boolean openToOthers) {
  public BootstrapConfig {
    contacts = Set.copyOf(contacts);
  }

  /** Returns the configuration for a fixed set of voters. */
  public static BootstrapConfig fixedVoters(Set<VmId> voters) {
    return new BootstrapConfig(voters, true, false);
  }

  boolean mayJoin(VmId vm) {
    return openToOthers || contacts.contains(vm);
  }
}
