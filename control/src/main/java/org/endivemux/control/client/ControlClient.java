package org.endivemux.control.client;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.endivemux.control.ControlException;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.model.VmId;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Finds the leader among the voters and sends requests to it.
 *
 * <p>Retries until the time limit, which is safe because every command is idempotent by its id.
 * Thread-safe.
 */
public final class ControlClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long one voter is asked before the next one is. */
  static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1200);

  private static final Duration RETRY_DELAY = Duration.ofMillis(50);

  private final Function<VmId, VoterClient> voterClients;
  private final Optional<VmId> ownVoter;
  private final AtomicInteger unnamedFailures = new AtomicInteger();
  private volatile List<VmId> contacts;
  private volatile List<VmId> candidates;
  private volatile VmId presumedLeader;

  /** Creates a client for a process without a voter. */
  public ControlClient(Function<VmId, VoterClient> voterClients, Collection<VmId> contacts) {
    this(voterClients, contacts, Optional.empty());
  }

  /**
   * Creates a client that first asks the contacts and learns of other voters from their replies.
   *
   * @param voterClients returns the client of a VM; always the same one for the same VM
   * @param ownVoter the voter in this process, which mostly knows the leader; it is asked first and
   *     in between, because all contacts may have been replaced
   */
  public ControlClient(
      Function<VmId, VoterClient> voterClients,
      Collection<VmId> contacts,
      Optional<VmId> ownVoter) {
    this.voterClients = voterClients;
    this.ownVoter = ownVoter;
    this.contacts = contacts.stream().sorted().toList();
    this.candidates = this.contacts;
    this.presumedLeader = ownVoter.orElseGet(() -> candidates.get(0));
  }

  /** Replaces the VMs that are asked in addition to the known voters. */
  public void setContacts(Collection<VmId> newContacts) {
    contacts = newContacts.stream().sorted().toList();
    setVoters(candidates);
  }

  /** Replaces the known voters, unless the list is empty. */
  void setVoters(List<VmId> voters) {
    if (!voters.isEmpty()) {
      candidates = Stream.concat(voters.stream(), contacts.stream()).distinct().sorted().toList();
    }
  }

  /** Asks the leader; fails with {@link ControlException} if none replies within the limit. */
  public Mono<ControlReply> ask(ControlRequest request, Duration limit) {
    return ask(request, limit, attemptTimeout(request));
  }

  /** Asks the leader, and another voter each time that an attempt has taken this long. */
  Mono<ControlReply> ask(ControlRequest request, Duration limit, Duration attemptTimeout) {
    return Mono.defer(() -> askPresumedLeader(request, attemptTimeout))
        .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, RETRY_DELAY))
        .timeout(
            limit, Mono.error(() -> new ControlException("No control leader answered in time.")));
  }

  private Mono<ControlReply> askPresumedLeader(ControlRequest request, Duration attemptTimeout) {
    VmId asked = presumedLeader;
    return voterClients
        .apply(asked)
        .ask(request, attemptTimeout)
        .timeout(attemptTimeout)
        .flatMap(reply -> checkIsLeader(asked, reply))
        .doOnError(error -> choosePresumedLeader(asked, error));
  }

  private static Duration attemptTimeout(ControlRequest request) {
    return request instanceof ControlRequest.AwaitInForce it
        ? ATTEMPT_TIMEOUT.plusMillis(it.limitMillis())
        : ATTEMPT_TIMEOUT;
  }

  private Mono<ControlReply> checkIsLeader(VmId asked, ControlReply reply) {
    if (reply instanceof ControlReply.NotLeader it) {
      setVoters(it.voters());
      return Mono.error(new NotLeaderException(it.leader()));
    }
    presumedLeader = asked;
    return Mono.just(reply);
  }

  private void choosePresumedLeader(VmId asked, Throwable error) {
    logger.atFine().log("event=control_try_failed vm=%s cause=%s", asked, error);
    Optional<VmId> namedLeader =
        error instanceof NotLeaderException it ? it.leader() : Optional.empty();
    presumedLeader = namedLeader.orElseGet(() -> nextCandidate(asked));
  }

  private VmId nextCandidate(VmId asked) {
    return ownVoter.map(this::nextBesideOwn).orElseGet(() -> nextAfter(asked));
  }

  private VmId nextAfter(VmId asked) {
    List<VmId> current = candidates;
    return current.get((current.indexOf(asked) + 1) % current.size());
  }

  /** Returns the own voter and the others in turn: what the own one knows may be outdated. */
  private VmId nextBesideOwn(VmId own) {
    int turn = unnamedFailures.getAndIncrement();
    List<VmId> others = candidates.stream().filter(vm -> !vm.equals(own)).toList();
    boolean isOwnsTurn = others.isEmpty() || turn % 2 == 1;
    return isOwnsTurn ? own : others.get(Math.floorMod(turn / 2, others.size()));
  }

  /** Asks one voter. Implementations are thread-safe and do not block. */
  public interface VoterClient {
    Mono<ControlReply> ask(ControlRequest request, Duration limit);
  }

  /** Returns a client of the voter in this process. */
  public static VoterClient local(Function<ControlRequest, Mono<ControlReply>> service) {
    return (request, limit) -> service.apply(request);
  }

  private static final class NotLeaderException extends RuntimeException {
    private final transient Optional<VmId> leader;

    NotLeaderException(Optional<VmId> leader) {
      super("The voter is not the leader.");
      this.leader = leader;
    }

    Optional<VmId> leader() {
      return leader;
    }
  }
}
