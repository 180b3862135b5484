package org.parsleycart.command;

/** The exit codes of the command line. */
enum ExitCode {
  DONE(0),
  /** Refused by a daemon, or rolled back or aborted. */
  REFUSED(1),
  BAD_INPUT(2),
  UNREACHABLE(3),
  /** Accepted, but not in force everywhere within the given time. */
  NOT_YET_IN_FORCE(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
