package org.parsleycart.command;

import java.util.Optional;
import org.parsleycart.decision.admission.RefusalReason;

/** The exit codes of the command line. */
enum ExitCode {
  DONE(0),
  /** Refused by a daemon, or rolled back or aborted. */
  REFUSED(1),
  BAD_INPUT(2),
  UNREACHABLE(3),
  /** Accepted, but not in force everywhere within the given time. */
  NOT_YET_IN_FORCE(4),
  /** No route matches the request asked about. */
  NO_ROUTE(5),
  /** The daemon serves no requests yet, or no more. */
  NOT_READY(6);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }

  /**
   * Returns the exit code for the reason that an answer of a daemon names, empty if it has none.
   */
  static Optional<ExitCode> ofReason(RefusalReason reason) {
    return switch (reason) {
      case NO_ROUTE -> Optional.of(NO_ROUTE);
      case NOT_READY, STOPPING -> Optional.of(NOT_READY);
      default -> Optional.empty();
    };
  }
}
