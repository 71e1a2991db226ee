package org.endivemux.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.endivemux.platform.standin.EngineStandIn;
import org.endivemux.testing.FaultProxy;

/** Faults of the soak. Changing their order or number changes the meaning of recorded seeds. */
@SuppressWarnings("ImmutableEnumChecker") // The lambdas are stateless.
enum SoakFault {
  ENTRY_KILLED((fleet, random) -> kill(any(fleet.entries, random))),
  ENTRY_STOPPED((fleet, random) -> stop(any(fleet.entries, random))),
  VOTER_KILLED((fleet, random) -> kill(any(fleet.voters, random))),
  ALL_VOTERS_KILLED((fleet, random) -> killAll(fleet.voters)),
  VM_FROZEN((fleet, random) -> freeze(any(fleet.vms(), random))),
  DISK_FULL((fleet, random) -> fillDisk(any(fleet.voters, random))),
  PEERS_SILENT((fleet, random) -> mode(any(fleet.peerProxies, random), FaultProxy.Mode.SILENT)),
  PEERS_ONE_WAY(SoakFault::silenceOneWay),
  PEERS_CUT((fleet, random) -> mode(any(fleet.peerProxies, random), FaultProxy.Mode.CUT)),
  PEERS_SLOW((fleet, random) -> slow(any(fleet.peerProxies, random))),
  CONNECTIONS_SILENT_FOR_GOOD(
      (fleet, random) -> withoutRecovery(anyProxy(fleet, random)::silencePresentConnections)),
  CONNECTIONS_RESET(
      (fleet, random) -> withoutRecovery(anyProxy(fleet, random)::resetPresentConnections)),
  ENGINE_FAILS(SoakFault::failEngine),
  ENGINE_REPLACED(
      (fleet, random) ->
          withoutRecovery(() -> fleet.replaceEngine(random.nextInt(fleet.engines.size())))),
  PLATFORM_DOWN(
      (fleet, random) ->
          mode(
              fleet.platformProxy,
              random.nextBoolean() ? FaultProxy.Mode.CUT : FaultProxy.Mode.SILENT));

  private final Injection injection;

  SoakFault(Injection injection) {
    this.injection = injection;
  }

  @FunctionalInterface
  private interface Injection {
    Runnable inject(GatewayFleet fleet, Random random);
  }

  /** Injects the fault at a randomly chosen target; returns the action that removes it. */
  Runnable inject(GatewayFleet fleet, Random random) {
    return injection.inject(fleet, random);
  }

  private static <T> T any(List<T> items, Random random) {
    return items.get(random.nextInt(items.size()));
  }

  private static FaultProxy anyProxy(GatewayFleet fleet, Random random) {
    return any(random.nextBoolean() ? fleet.peerProxies : fleet.engineProxies, random);
  }

  /** Runs an action that needs no recovery. */
  private static Runnable withoutRecovery(Runnable action) {
    action.run();
    return () -> {};
  }

  private static Runnable kill(Vm vm) {
    vm.kill();
    return () -> startUnlessRunning(vm);
  }

  private static Runnable killAll(List<Vm> vms) {
    vms.forEach(Vm::kill);
    return () -> vms.forEach(SoakFault::startUnlessRunning);
  }

  private static Runnable stop(Vm vm) {
    if (!vm.isRunning()) {
      return () -> {};
    }
    vm.thaw();
    vm.terminate();
    return () -> {
      if (!vm.shouldBeRunning()) {
        vm.thaw();
        vm.awaitExit();
        vm.start();
      }
    };
  }

  private static Runnable freeze(Vm vm) {
    if (vm.isRunning()) {
      vm.freeze();
    }
    return () -> {
      if (vm.isRunning()) {
        vm.thaw();
      }
    };
  }

  private static Runnable fillDisk(Vm voter) {
    voter.kill();
    voter.startWithFilesUpTo(kilobytes(voter.dataFolder().resolve("log")) + 2);
    return () -> {
      voter.kill();
      voter.start();
    };
  }

  private static Runnable silenceOneWay(GatewayFleet fleet, Random random) {
    FaultProxy.Mode direction =
        random.nextBoolean()
            ? FaultProxy.Mode.SILENT_TO_TARGET
            : FaultProxy.Mode.SILENT_FROM_TARGET;
    return mode(any(fleet.peerProxies, random), direction);
  }

  private static Runnable mode(FaultProxy proxy, FaultProxy.Mode mode) {
    proxy.mode(mode);
    return () -> proxy.mode(FaultProxy.Mode.PASS);
  }

  private static Runnable slow(FaultProxy proxy) {
    proxy.degrade(60, 120, 0.05);
    return () -> proxy.degrade(0, 0, 0);
  }

  private static Runnable failEngine(GatewayFleet fleet, Random random) {
    int index = random.nextInt(fleet.engines.size());
    fleet.engines.get(index).mode(any(List.of(EngineStandIn.Mode.values()), random));
    return () -> fleet.engines.get(index).mode(EngineStandIn.Mode.HEALTHY);
  }

  static void startUnlessRunning(Vm vm) {
    if (!vm.isRunning()) {
      vm.start();
    }
  }

  private static long kilobytes(Path file) {
    try {
      return Files.exists(file) ? Files.size(file) / 1024 : 0;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
