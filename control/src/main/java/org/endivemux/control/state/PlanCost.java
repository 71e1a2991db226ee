package org.endivemux.control.state;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.endivemux.model.Declaration;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.ServerKind;

/** Computes the cost and the risks of a plan for operators. Stateless and thread-safe. */
final class PlanCost {
  private PlanCost() {}

  static double perHour(Declaration declaration) {
    return declaration.backendServers().stream().mapToDouble(BackendServer::costPerHour).sum();
  }

  /**
   * Returns a sentence for each risk: an exceeded budget, a route without backend servers, a route
   * that loses all its capacity with one failure domain, and a protected class whose route is
   * served only by spot servers.
   */
  static List<String> risks(Declaration declaration) {
    Stream<String> overBudget =
        declaration.budgetPerHour() > 0 && perHour(declaration) > declaration.budgetPerHour()
            ? Stream.of(
                "The declared backend servers cost "
                    + perHour(declaration)
                    + " an hour, more than the budget of "
                    + declaration.budgetPerHour()
                    + ".")
            : Stream.empty();
    return Stream.concat(
            overBudget, declaration.routes().stream().flatMap(route -> risks(declaration, route)))
        .toList();
  }

  private static Stream<String> risks(Declaration declaration, Route route) {
    List<BackendServer> servers =
        declaration.backendServers().stream()
            .filter(server -> server.serves().contains(route.name()))
            .toList();
    if (servers.isEmpty()) {
      return Stream.of("No backend server serves " + route.name() + ".");
    }
    Set<FailureDomain> domains =
        servers.stream().map(BackendServer::failureDomain).collect(Collectors.toSet());
    boolean isProtected =
        declaration.classes().stream()
            .filter(RequestClass::protectedTier)
            .anyMatch(requestClass -> requestClass.name().equals(route.requestClass()));
    Stream<String> singleDomain =
        domains.size() == 1
            ? Stream.of(
                "Class "
                    + route.requestClass()
                    + " misses its target when failure domain "
                    + domains.iterator().next()
                    + " is lost: all of "
                    + route.name()
                    + " is there.")
            : Stream.empty();
    Stream<String> onlySpot =
        isProtected && servers.stream().allMatch(server -> server.kind() == ServerKind.CHEAP)
            ? Stream.of(
                "Class "
                    + route.requestClass()
                    + " is protected, but "
                    + route.name()
                    + " runs only on cheap backend servers, which can be reclaimed.")
            : Stream.empty();
    return Stream.concat(singleDomain, onlySpot);
  }
}
