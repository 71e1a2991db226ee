package org.endivemux.integration;

import org.endivemux.testing.FaultProxy;
import org.endivemux.testing.FaultProxy.Mode;

/**
 * Faults of the matrix; each is injected from outside by a signal, a proxy or a change of files.
 */
enum MatrixFault {
  KILL_ENTRY {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      entry.kill();
    }
  },
  FREEZE_ENTRY {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      entry.freeze();
    }
  },
  KILL_LEADER {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      leader.kill();
    }
  },
  FREEZE_LEADER {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      leader.freeze();
    }
  },
  CUT_LEADER {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      cluster.links(leader, Mode.CUT);
    }
  },
  SILENCE_LEADER {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      cluster.links(leader, Mode.SILENT);
    }
  },
  ONE_WAY_CUT_OF_LEADER {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      cluster.linksFrom(leader, Mode.SILENT_TO_TARGET);
    }
  },
  LOST_DISK_OF_LEADER {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      leader.loseDisk();
    }
  },
  OPEN_CONNECTIONS_GO_SILENT {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      cluster.allLinks(FaultProxy::silencePresentConnections);
      cluster.engineProxies.forEach(FaultProxy::silencePresentConnections);
      cluster.tillProxy.silencePresentConnections();
      cluster.platformProxy.silencePresentConnections();
    }
  },
  RESTART_ALL {
    @Override
    void inject(Cluster cluster, Vm entry, Vm leader) {
      cluster.vms.forEach(Vm::kill);
      cluster.vms.forEach(Vm::start);
    }
  };

  /** Injects the fault; the matrix removes it afterwards. */
  abstract void inject(Cluster cluster, Vm entry, Vm leader);
}
