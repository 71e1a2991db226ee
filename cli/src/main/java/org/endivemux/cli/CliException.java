package org.endivemux.cli;

/** Signals why a command ends without success, with its exit status. Immutable. */
final class CliException extends RuntimeException {
  private final ExitStatus status;

  CliException(ExitStatus status, String message) {
    super(message);
    this.status = status;
  }

  ExitStatus status() {
    return status;
  }
}
