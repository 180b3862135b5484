package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.util.OptionalInt;
import org.parsleycart.decision.AttemptOutcome;

/**
 * How an attempt ended.
 *
 * @param outcome what is known of the call
 * @param delivered whether an answer was sent to the caller, whole or broken off
 * @param fault what went wrong
 * @param status the status code of the answer, if there was one
 */
record AttemptResult(AttemptOutcome outcome, boolean delivered, Fault fault, OptionalInt status) {

  /** What went wrong in an attempt. */
  enum Fault {
    NONE,
    /** No connection came about. */
    UNREACHABLE,
    /** The connection broke before the whole answer. */
    BROKEN,
    /** The deadline passed. */
    LATE,
    /** The answer was not one to this request, or could not be proved whole. */
    UNUSABLE,
    /** The upstream answered that it did not run the request. */
    REFUSED_BY_UPSTREAM,
    /** The upstream answered that it failed, and another may be asked. */
    FAILED_ANSWER,
    /** The caller went away. */
    CALLER_GONE,
    /** The idempotency key was used before, or may have been. */
    REPEATED
  }

  AttemptResult {
    requireNonNull(outcome, "outcome is null");
    requireNonNull(fault, "fault is null");
    requireNonNull(status, "status is null");
  }

  /** Returns the end of an attempt that delivered nothing. */
  static AttemptResult undelivered(AttemptOutcome outcome, Fault fault) {
    return new AttemptResult(outcome, false, fault, OptionalInt.empty());
  }
}
