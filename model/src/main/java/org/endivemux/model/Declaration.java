package org.endivemux.model;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;

/**
 * Holds an operator's declaration: organisations, classes, routes, backend servers and budget.
 *
 * <p>Immutable and thread-safe; absent lists are empty. Structural checks are in {@link
 * DeclarationCheck}.
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record Declaration(
    List<Organisation> organisations,
    List<RequestClass> classes,
    List<Route> routes,
    List<BackendServer> backendServers,
    double budgetPerHour) {

  public Declaration {
    organisations = organisations == null ? List.of() : List.copyOf(organisations);
    classes = classes == null ? List.of() : List.copyOf(classes);
    routes = routes == null ? List.of() : List.copyOf(routes);
    backendServers = backendServers == null ? List.of() : List.copyOf(backendServers);
  }

  /** Returns the declaration that is in force before any plan is confirmed. */
  public static Declaration empty() {
    return new Declaration(List.of(), List.of(), List.of(), List.of(), 0);
  }

  /** Returns the organisation with this id. */
  public Optional<Organisation> organisation(OrganisationId id) {
    return organisations.stream().filter(candidate -> candidate.id().equals(id)).findFirst();
  }

  /**
   * Holds one organisation: its share of contended capacity and the classes that it may request
   * besides the routes' default classes.
   */
  public record Organisation(OrganisationId id, int share, List<ClassName> classes) {
    public Organisation {
      share = share == 0 ? 1 : share;
      classes = classes == null ? List.of() : List.copyOf(classes);
    }
  }

  /**
   * Holds one class of requests.
   *
   * @param tier priority; 0 is served first
   * @param protectedTier true for sales and bookings, which are never shed for a lower tier
   * @param targetMillis target time to the first token, or to the complete response of a service,
   *     in milliseconds
   * @param maxWaitMillis longest wait in the queue before a request is refused, in milliseconds
   * @param floorShare minimum share of assignments, 0 to 1, that this class gets while it has
   *     waiting requests
   */
  public record RequestClass(
      ClassName name,
      int tier,
      boolean protectedTier,
      long targetMillis,
      @JsonProperty("patienceMillis") long maxWaitMillis,
      double floorShare) {}

  /**
   * Holds one route: a model for chat completions or a plain service.
   *
   * @param repeatable whether a call may run more than once
   */
  public record Route(Type type, String name, ClassName requestClass, boolean repeatable) {
    /** Lists what a route can lead to. */
    public enum Type {
      MODEL,
      SERVICE
    }
  }

  /**
   * Holds one backend server.
   *
   * @param address IP address and port, such as {@code 127.0.0.1:9000}
   * @param serves names of the models and services that it serves
   * @param capacity most requests that it should run concurrently
   * @param checksFencing whether it rejects orders with an outdated fencing number
   */
  public record BackendServer(
      BackendServerId id,
      String address,
      FailureDomain failureDomain,
      ServerKind kind,
      List<String> serves,
      @JsonProperty("room") int capacity,
      double costPerHour,
      boolean checksFencing) {
    public BackendServer {
      serves = serves == null ? List.of() : List.copyOf(serves);
      kind = kind == null ? ServerKind.STEADY : kind;
    }
  }
}
