package org.endivemux.cli;

/** Exit statuses, which are stable for use in scripts. Immutable and thread-safe. */
enum ExitStatus {
  OK(0),
  /** The command line or a file is invalid. */
  USAGE(2),
  /** The system refused the request; the reason was printed. */
  REFUSED(3),
  /** No VM responded. */
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
