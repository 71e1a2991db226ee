package org.endivemux.control.client;

import java.time.Duration;
import org.endivemux.control.ControlException;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import reactor.core.publisher.Mono;

/**
 * Writes configurations of the gateway for an operator.
 *
 * <p>Invariant: a write completes only when the configuration, or a newer one, is committed and in
 * force at every entry that is in contact with the leader. Thread-safe.
 */
public final class GatewayConfigWriter {
  /** Part of the limit that is left for the leader's statement which entries lack a change. */
  private static final Duration REPLY_TIME = Duration.ofMillis(300);

  private final ControlClient control;
  private final Duration limit;

  /**
   * @param limit maximum time to commit a configuration, and then to see it in force; longer than
   *     {@link #REPLY_TIME}
   */
  public GatewayConfigWriter(ControlClient control, Duration limit) {
    this.control = control;
    this.limit = limit;
  }

  /**
   * Writes a configuration; completes when it may be acknowledged, and fails with {@link
   * ControlException} when that is not known within the limit.
   */
  public Mono<Void> write(Command.PutGatewayConfig command) {
    return control
        .ask(new ControlRequest.Submit(command), limit)
        .map(reply -> ((ControlReply.SubmitReply) reply).result())
        .flatMap(this::awaitInForce);
  }

  private Mono<Void> awaitInForce(CommandResult result) {
    if (!(result instanceof CommandResult.GatewayConfigStored stored)) {
      return Mono.error(new ControlException("The change was not committed."));
    }
    long awaitMillis = limit.minus(REPLY_TIME).toMillis();
    return control
        .ask(new ControlRequest.AwaitInForce(stored.revision(), awaitMillis), limit)
        .cast(ControlReply.InForce.class)
        .flatMap(GatewayConfigWriter::checkInForce);
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
