package org.endivemux.routing.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.endivemux.model.InFlightAt;
import org.endivemux.model.RequestId;
import org.endivemux.model.SpeedAt;
import org.endivemux.model.gateway.ServerReport;
import org.endivemux.model.gateway.ServiceName;

/**
 * Measures the speed of backend servers of those services whose servers report a slowdown.
 *
 * <p>Invariant: a service without such a report is neither measured nor shared. Confined to the
 * scheduler's thread.
 */
final class ServiceSpeeds {
  /** The mean gap between fewer events says little about the server. */
  private static final int MIN_GAPS = 8;

  private final Set<ServiceName> reporting = new HashSet<>();
  private final Map<ServiceName, UsualRate> eventRates = new HashMap<>();
  private final Map<ServiceName, UsualRate> answerRates = new HashMap<>();
  private int nextShared;

  boolean isOn(ServiceName service) {
    return reporting.contains(service);
  }

  /** Records a report; returns whether it is the first one with a slowdown of its service. */
  boolean reported(ServerLoad load, ServerReport report, long now) {
    load.speed().reported(report, now);
    return report.workPercent().isPresent() && reporting.add(load.server().service());
  }

  /** Adds the time between the first and the last event of a running job's complete stream. */
  void streamed(ServerLoad load, RequestId id, int gaps, long now) {
    if (gaps >= MIN_GAPS) {
      load.firstEventAt(id)
          .ifPresent(at -> observe(eventRates, load, (double) gaps / Math.max(1, now - at), now));
    }
  }

  /** Adds the time of a running job's answer if it succeeded and the job has no prompt. */
  void ended(ServerLoad load, RequestId id, AttemptResult end, long now) {
    if (end == AttemptResult.OK) {
      load.plainStartedAt(id)
          .ifPresent(at -> observe(answerRates, load, 1.0 / Math.max(1, now - at), now));
    }
  }

  private void observe(Map<ServiceName, UsualRate> rates, ServerLoad load, double rate, long now) {
    ServiceName service = load.server().service();
    if (isOn(service)) {
      double ratio = rates.computeIfAbsent(service, name -> new UsualRate()).observe(rate);
      load.speed().observe(ratio, now);
    }
  }

  /**
   * Returns the samples at the next servers in turn. Servers without samples are named as well,
   * because the reply of the leader covers the named servers only.
   */
  List<SpeedAt> nextShared(Collection<ServerLoad> servers) {
    List<ServerLoad> measured =
        servers.stream().filter(load -> isOn(load.server().service())).toList();
    int count = Math.min(SpeedAt.MAX_PER_MESSAGE, measured.size());
    int first = measured.isEmpty() ? 0 : nextShared % measured.size();
    nextShared = first + count;
    return IntStream.range(first, first + count)
        .mapToObj(i -> measured.get(i % measured.size()))
        .map(load -> load.speed().shared(InFlightAt.tag(load.server().id())))
        .toList();
  }

  /** Applies sums over the samples of all entries. */
  void update(Collection<ServerLoad> servers, List<SpeedAt> sums, long now) {
    Map<Integer, SpeedAt> byTag =
        sums.stream()
            .collect(Collectors.toMap(SpeedAt::server, Function.identity(), (one, other) -> one));
    servers.stream()
        .filter(load -> isOn(load.server().service()))
        .forEach(
            load -> {
              SpeedAt sum = byTag.get(InFlightAt.tag(load.server().id()));
              if (sum != null) {
                load.speed().updateFleetSum(sum, now);
              }
            });
  }

  /** Returns the ratio of the fastest to the slowest server, 1 without a measured server. */
  double spread(Collection<ServerLoad> servers) {
    List<Double> speeds =
        servers.stream()
            .filter(load -> isOn(load.server().service()))
            .map(load -> load.speed().usual())
            .sorted(Comparator.naturalOrder())
            .toList();
    return speeds.isEmpty() ? 1 : speeds.get(speeds.size() - 1) / speeds.get(0);
  }
}
