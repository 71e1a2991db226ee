package org.endivemux.routing.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.EntryInfo;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.Incarnation;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.model.VmId;
import org.endivemux.model.gateway.CapacityBounds;
import org.endivemux.model.gateway.EngineProfile;
import org.endivemux.model.gateway.GatewayServer;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.ServiceSpec;
import org.endivemux.model.gateway.SoftwareVersion;

/** Creates fleets and jobs for tests. Stateless. */
final class Fleet {
  static final ServiceName LLM = new ServiceName("llm");
  static final long MILLI = 1_000_000L;
  static final List<FailureDomain> DOMAINS =
      Stream.of("a", "b", "c", "d").map(FailureDomain::new).toList();
  private static final int SLOTS = 8;

  private Fleet() {}

  /** Returns notices of servers that have said nothing. */
  static ServerNotices notices() {
    return new ServerNotices(Duration.ofMinutes(1));
  }

  /** Returns the live entries with the given numbers. */
  static List<EntryInfo> live(int from, int to) {
    return IntStream.range(from, to)
        .mapToObj(
            i ->
                new EntryInfo(
                    vm(i), new Incarnation("1"), DOMAINS.get(i % 4), "10.1.0." + i, "", true))
        .toList();
  }

  static VmId vm(int number) {
    return new VmId("10.1.0." + number + ":70");
  }

  static ServiceSpec spec() {
    return spec(6);
  }

  /** Returns a service that may have at most this many servers in each domain. */
  static ServiceSpec spec(int maxPerDomain) {
    return new ServiceSpec(
        LLM,
        100,
        Optional.of(new EngineProfile(SLOTS, 100_000, 6)),
        Optional.of(
            new CapacityBounds(
                1,
                maxPerDomain,
                4,
                0.2,
                Map.of(
                    DOMAINS.get(0),
                    1.0,
                    DOMAINS.get(1),
                    1.0,
                    DOMAINS.get(2),
                    1.0,
                    DOMAINS.get(3),
                    1.0))));
  }

  static GatewayServer server(int number, FailureDomain domain, ServerKind kind, boolean leaving) {
    return new GatewayServer(
        new BackendServerId("s" + number), LLM, "10.0.0." + number, domain, SLOTS, leaving, kind);
  }

  static List<GatewayServer> oneInEachDomain() {
    return IntStream.range(0, DOMAINS.size())
        .mapToObj(i -> server(i, DOMAINS.get(i), ServerKind.STEADY, false))
        .toList();
  }

  static List<GatewayServer> spot(int inEachDomain) {
    int domains = DOMAINS.size();
    return IntStream.range(0, inEachDomain * domains)
        .mapToObj(i -> server(i, DOMAINS.get(i % domains), ServerKind.CHEAP, false))
        .toList();
  }

  static FleetJob job(int number, int urgency, PromptShape prompt) {
    return job(number, urgency, prompt, false);
  }

  /** Returns a job of a route whose prompts are long. */
  static FleetJob longJob(int number, PromptShape prompt) {
    return job(number, 2, prompt, true);
  }

  private static FleetJob job(int number, int urgency, PromptShape prompt, boolean longPrompts) {
    return new FleetJob(
        new RequestId("r" + number),
        LLM,
        urgency,
        number,
        number + 400 * MILLI,
        prompt,
        longPrompts,
        Set.of());
  }

  static PromptShape prompt(String session) {
    return new PromptShape(
        "m",
        5000,
        100,
        List.of(
            new PromptPart("shared", 500),
            new PromptPart(session, 4000),
            new PromptPart(session + "-own", 500)));
  }

  /** Returns a job that arrives at once and that only servers of one version may run, if any. */
  static FleetJob jobOfVersion(
      String id, Optional<SoftwareVersion> version, Set<BackendServerId> avoid) {
    return new FleetJob(
        new RequestId(id),
        LLM,
        1,
        0,
        Long.MAX_VALUE,
        PromptShape.none(),
        false,
        0,
        Optional.empty(),
        avoid,
        version);
  }
}
