package org.endivemux.control.client;

import java.time.Duration;
import org.endivemux.control.ControlException;
import org.endivemux.control.message.ControlReply;
import org.endivemux.control.message.ControlRequest;
import org.endivemux.control.state.Command;
import org.endivemux.control.state.CommandResult;
import reactor.core.publisher.Mono;

/** Writes configurations of the gateway for an operator. Thread-safe. */
public final class GatewayConfigWriter {
  private final ControlClient control;
  private final Duration limit;

  /**
   * @param limit maximum time of one write
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
        .flatMap(GatewayConfigWriter::checkDone);
  }

  private static Mono<Void> checkDone(CommandResult result) {
    return result instanceof CommandResult.GatewayConfigStored
        ? Mono.empty()
        : Mono.error(new ControlException("The change was not committed."));
  }
}
