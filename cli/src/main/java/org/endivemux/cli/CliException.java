package org.endivemux.cli;

/** Thrown when a command fails; carries the exit status and a message for the user. Immutable. */
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
