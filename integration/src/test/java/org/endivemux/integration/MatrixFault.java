package org.endivemux.integration;

import org.endivemux.testing.FaultProxy;
import org.endivemux.testing.FaultProxy.Mode;

/** Lists the faults of the matrix; each acts from outside, by signal, by proxy or on files. */
enum MatrixFault {
  KILL_ENTRY {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      entry.kill();
    }
  },
  FREEZE_ENTRY {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      entry.freeze();
    }
  },
  KILL_LEADER {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      leader.kill();
    }
  },
  FREEZE_LEADER {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      leader.freeze();
    }
  },
  CUT_LEADER {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      cluster.links(leader, Mode.CUT);
    }
  },
  SILENCE_LEADER {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      cluster.links(leader, Mode.SILENT);
    }
  },
  ONE_WAY_CUT_OF_LEADER {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      cluster.linksFrom(leader, Mode.SILENT_TO_TARGET);
    }
  },
  LOST_DISK_OF_LEADER {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      leader.loseDisk();
    }
  },
  OPEN_CONNECTIONS_GO_SILENT {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      cluster.allLinks(FaultProxy::silencePresentConnections);
      cluster.engineProxies.forEach(FaultProxy::silencePresentConnections);
      cluster.tillProxy.silencePresentConnections();
      cluster.platformProxy.silencePresentConnections();
    }
  },
  RESTART_ALL {
    @Override
    void strike(Cluster cluster, Vm entry, Vm leader) {
      cluster.vms.forEach(Vm::kill);
      cluster.vms.forEach(Vm::start);
    }
  };

  /** Brings the fault about; the matrix heals everything afterwards. */
  abstract void strike(Cluster cluster, Vm entry, Vm leader);
}
