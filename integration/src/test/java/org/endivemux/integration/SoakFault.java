package org.endivemux.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.testing.FaultProxy;

/** Lists the faults of the soak; each returns what ends it. */
enum SoakFault {
  ENTRY_KILLED {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      return killed(any(fleet.entries, random));
    }
  },
  ENTRY_STOPPED {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      Vm entry = any(fleet.entries, random);
      if (!entry.runs()) {
        return () -> {};
      }
      entry.thaw();
      entry.terminate();
      return () -> {
        if (!entry.wanted()) {
          entry.thaw();
          entry.waitForEnd();
          entry.start();
        }
      };
    }
  },
  VOTER_KILLED {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      return killed(any(fleet.voters, random));
    }
  },
  ALL_VOTERS_KILLED {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      fleet.voters.forEach(Vm::kill);
      return () -> fleet.voters.forEach(SoakFault::startUnlessRunning);
    }
  },
  VM_FROZEN {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      Vm vm = any(fleet.vms(), random);
      if (vm.runs()) {
        vm.freeze();
      }
      return () -> {
        if (vm.runs()) {
          vm.thaw();
        }
      };
    }
  },
  DISK_FULL {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      Vm voter = any(fleet.voters, random);
      voter.kill();
      voter.startWithFilesUpTo(kilobytes(fleet.dataFolder(voter).resolve("log")) + 2);
      return () -> {
        voter.kill();
        voter.start();
      };
    }
  },
  PEERS_SILENT {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      return links(fleet, random, FaultProxy.Mode.SILENT);
    }
  },
  PEERS_ONE_WAY {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      return links(
          fleet,
          random,
          random.nextBoolean()
              ? FaultProxy.Mode.SILENT_TO_TARGET
              : FaultProxy.Mode.SILENT_FROM_TARGET);
    }
  },
  PEERS_CUT {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      return links(fleet, random, FaultProxy.Mode.CUT);
    }
  },
  PEERS_SLOW {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      FaultProxy proxy = any(fleet.peerProxies, random);
      proxy.link(60, 120, 0.05);
      return () -> proxy.link(0, 0, 0);
    }
  },
  CONNECTIONS_SILENT_FOR_GOOD {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      any(random.nextBoolean() ? fleet.peerProxies : fleet.engineProxies, random)
          .silencePresentConnections();
      return () -> {};
    }
  },
  CONNECTIONS_RESET {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      any(random.nextBoolean() ? fleet.peerProxies : fleet.engineProxies, random)
          .resetPresentConnections();
      return () -> {};
    }
  },
  ENGINE_FAILS {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      int index = random.nextInt(fleet.engines.size());
      fleet.engines.get(index).mode(any(List.of(EngineStandIn.Mode.values()), random));
      return () -> fleet.engines.get(index).mode(EngineStandIn.Mode.SOUND);
    }
  },
  ENGINE_REPLACED {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      fleet.replaceEngine(random.nextInt(fleet.engines.size()));
      return () -> {};
    }
  },
  PLATFORM_DOWN {
    @Override
    Runnable begin(GatewayFleet fleet, Random random) {
      fleet.platformProxy.mode(random.nextBoolean() ? FaultProxy.Mode.CUT : FaultProxy.Mode.SILENT);
      return () -> fleet.platformProxy.mode(FaultProxy.Mode.PASS);
    }
  };

  /** Begins the fault at a place that the random source gives; returns what ends it. */
  abstract Runnable begin(GatewayFleet fleet, Random random);

  private static <T> T any(List<T> items, Random random) {
    return items.get(random.nextInt(items.size()));
  }

  private static Runnable killed(Vm vm) {
    vm.kill();
    return () -> startUnlessRunning(vm);
  }

  static void startUnlessRunning(Vm vm) {
    if (!vm.runs()) {
      vm.start();
    }
  }

  private static Runnable links(GatewayFleet fleet, Random random, FaultProxy.Mode mode) {
    FaultProxy proxy = any(fleet.peerProxies, random);
    proxy.mode(mode);
    return () -> proxy.mode(FaultProxy.Mode.PASS);
  }

  private static long kilobytes(Path file) {
    try {
      return Files.exists(file) ? Files.size(file) / 1024 : 0;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
