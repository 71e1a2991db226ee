package org.endivemux.cli;

/** Lists the exit statuses that scripts can rely on. Immutable and thread-safe. */
enum ExitStatus {
  OK(0),
  /** The command line or a file is wrong. */
  USAGE(2),
  /** The system refused; its reason was printed. */
  REFUSED(3),
  /** No VM answered. */
  UNREACHABLE(4),
  /** The change is accepted but not yet known to be in force everywhere. */
  NOT_YET_IN_FORCE(5);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
