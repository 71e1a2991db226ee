package org.endivemux.control.client;

import java.time.Duration;
import org.endivemux.control.ControlException;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import reactor.core.publisher.Mono;

/**
 * Writes an operator's orders: configurations of the gateway and evacuations of failure domains.
 *
 * <p>Invariant: a write completes only when the order, or a newer one of its kind, is committed and
 * in force at every entry that is in contact with the leader. An order that is written again waits
 * for the same revision as the first time or a later one. Thread-safe.
 */
public final class OrderWriter {
  /** Part of the limit that is left for the leader's statement which entries lack a change. */
  private static final Duration REPLY_TIME = Duration.ofMillis(300);

  private final ControlClient control;
  private final Duration limit;

  /**
   * @param limit maximum time to commit an order, and then to see it in force; longer than {@link
   *     #REPLY_TIME}
   */
  public OrderWriter(ControlClient control, Duration limit) {
    this.control = control;
    this.limit = limit;
  }

  /**
   * Writes an order; completes when it may be acknowledged, and fails with {@link ControlException}
   * when that is not known within the limit.
   *
   * @param command one that results in {@link CommandResult.Stored}
   */
  public Mono<Void> write(Command command) {
    return control
        .ask(new ControlRequest.Submit(command), limit)
        .map(reply -> ((ControlReply.SubmitReply) reply).result())
        .flatMap(this::awaitInForce);
  }

  private Mono<Void> awaitInForce(CommandResult result) {
    if (!(result instanceof CommandResult.Stored stored)) {
      return Mono.error(new ControlException("The change was not committed."));
    }
    long awaitMillis = limit.minus(REPLY_TIME).toMillis();
    return control
        .ask(new ControlRequest.AwaitInForce(stored.revision(), awaitMillis), limit)
        .cast(ControlReply.InForce.class)
        .flatMap(OrderWriter::checkInForce);
  }

  private static Mono<Void> checkInForce(ControlReply.InForce reply) {
    if (reply.everywhere()) {
      return Mono.empty();
    }
    String reason =
        reply.missing().isEmpty()
            ? "a new leader does not know yet which entries are in contact"
            : "it is not yet in force at " + reply.missing();
    return Mono.error(new ControlException("The change is committed, but " + reason + "."));
  }
}
