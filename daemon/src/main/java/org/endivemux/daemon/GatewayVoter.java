package org.endivemux.daemon;

import com.codahale.metrics.MetricRegistry;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.endivemux.consensus.BootstrapConfig;
import org.endivemux.consensus.Timing;
import org.endivemux.control.voter.Clocks;
import org.endivemux.control.voter.ControlService;
import org.endivemux.control.voter.EntryRegistry;
import org.endivemux.control.voter.FleetLoad;
import org.endivemux.control.voter.FullDiskRetry;
import org.endivemux.control.voter.GatewayLeaderTasks;
import org.endivemux.control.voter.PlannedCapacity;
import org.endivemux.control.voter.ServerDirectory;
import org.endivemux.control.voter.StreamRecorder;
import org.endivemux.control.voter.TrueTime;
import org.endivemux.control.voter.Voter;
import org.endivemux.control.voter.WindowCounts;
import org.endivemux.model.VmId;
import org.endivemux.platform.PlatformApi;
import org.endivemux.routing.fleet.PartQuarantine;
import org.endivemux.storage.DataFolder;
import reactor.netty.resources.LoopResources;

/** Assembles the components of a voter of the gateway's control plane. Started by one thread. */
final class GatewayVoter {
  private final Voter voter;
  private final ControlService service;
  private final GatewayLeaderTasks leaderTasks;

  GatewayVoter(
      GatewaySettings settings,
      PeerNetwork network,
      Clocks clocks,
      LoopResources loop,
      Consumer<Throwable> fatal,
      MetricRegistry metrics) {
    VmId self = settings.peerId();
    this.voter =
        new Voter(
            self,
            new BootstrapConfig(settings.contactIds(), settings.mayForm(), true),
            DataFolder.open(
                Path.of(settings.dataFolder().orElseThrow()), new FullDiskRetry(metrics)),
            Timing.standard(),
            clocks,
            network::send,
            fatal,
            metrics);
    ServerDirectory directory = new ServerDirectory(settings.serverListLag());
    WindowCounts counts = new WindowCounts();
    TrueTime time = new TrueTime(clocks);
    FleetLoad loads = new FleetLoad();
    StreamRecorder streams = new StreamRecorder(voter, time);
    this.service =
        new ControlService(
            self,
            voter,
            new EntryRegistry(),
            clocks,
            directory,
            counts,
            time,
            loads,
            new PartQuarantine(),
            streams);
    this.leaderTasks =
        new GatewayLeaderTasks(
            voter,
            service,
            new PlatformApi(
                new VmId(settings.vm()),
                settings.platformAddress().orElseThrow(),
                voter::holdsLease,
                loop),
            directory,
            streams,
            counts,
            time,
            clocks,
            settings.usageWindow(),
            new PlannedCapacity(loads),
            metrics);
  }

  Voter voter() {
    return voter;
  }

  ControlService service() {
    return service;
  }

  void start() {
    voter.start();
    leaderTasks.start();
  }
}
