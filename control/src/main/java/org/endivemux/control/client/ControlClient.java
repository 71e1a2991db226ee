package org.endivemux.control.client;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.endivemux.control.ControlException;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.model.VmId;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Finds the leader among the voters and asks it.
 *
 * <p>Resends until time is up, which is safe because every command is idempotent by its id.
 * Thread-safe.
 */
public final class ControlClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration ONE_TRY = Duration.ofMillis(1200);
  private static final Duration PAUSE = Duration.ofMillis(50);

  private final Function<VmId, VoterClient> callers;
  private volatile List<VmId> contacts;
  private volatile List<VmId> order;
  private volatile VmId believed;

  /**
   * Makes a group that is asked first at its contacts and learns of other voters from their
   * answers.
   *
   * @param callers gives the way to a VM; the same for the same VM
   */
  public ControlClient(Function<VmId, VoterClient> callers, Collection<VmId> contacts) {
    this.callers = callers;
    this.contacts = contacts.stream().sorted().toList();
    this.order = this.contacts;
    this.believed = order.get(0);
  }

  /** Takes over the VMs that are asked first. */
  public void setContacts(Collection<VmId> newContacts) {
    contacts = newContacts.stream().sorted().toList();
    setVoters(order);
  }

  /** Takes over the VMs that may lead. */
  void setVoters(List<VmId> voters) {
    if (!voters.isEmpty()) {
      order = Stream.concat(voters.stream(), contacts.stream()).distinct().sorted().toList();
    }
  }

  /** Asks the leader; fails with {@link ControlException} when none answers within the limit. */
  public Mono<ControlReply> ask(ControlRequest request, Duration limit) {
    return Mono.defer(() -> askOnce(request))
        .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, PAUSE))
        .timeout(
            limit, Mono.error(() -> new ControlException("No control leader answered in time.")));
  }

  private Mono<ControlReply> askOnce(ControlRequest request) {
    VmId asked = believed;
    Duration oneTry = oneTry(request);
    return callers
        .apply(asked)
        .ask(request, oneTry)
        .timeout(oneTry)
        .flatMap(reply -> checkLeads(asked, reply))
        .doOnError(error -> moveOn(asked, error));
  }

  private static Duration oneTry(ControlRequest request) {
    return request instanceof ControlRequest.AwaitInForce it
        ? ONE_TRY.plusMillis(it.limitMillis())
        : ONE_TRY;
  }

  private Mono<ControlReply> checkLeads(VmId asked, ControlReply reply) {
    if (reply instanceof ControlReply.NotLeader it) {
      setVoters(it.voters());
      return Mono.error(new NotLeaderException(it.leader()));
    }
    believed = asked;
    return Mono.just(reply);
  }

  private void moveOn(VmId asked, Throwable error) {
    logger.atFine().log("event=control_try_failed vm=%s cause=%s", asked, error);
    Optional<VmId> hint = error instanceof NotLeaderException it ? it.leader() : Optional.empty();
    believed = hint.orElseGet(() -> after(asked));
  }

  private VmId after(VmId asked) {
    List<VmId> present = order;
    return present.get((present.indexOf(asked) + 1) % present.size());
  }

  /** Asks one voter. Implementations are thread-safe and do not block. */
  public interface VoterClient {
    Mono<ControlReply> ask(ControlRequest request, Duration limit);
  }

  /** Returns a caller over a function that answers on this VM. */
  public static VoterClient local(Function<ControlRequest, Mono<ControlReply>> service) {
    return (request, limit) -> service.apply(request);
  }

  private static final class NotLeaderException extends RuntimeException {
    private final transient Optional<VmId> leader;

    NotLeaderException(Optional<VmId> leader) {
      super("The voter does not lead.");
      this.leader = leader;
    }

    Optional<VmId> leader() {
      return leader;
    }
  }
}
