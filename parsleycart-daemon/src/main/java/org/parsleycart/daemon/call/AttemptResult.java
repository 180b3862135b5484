package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.util.OptionalInt;
import org.parsleycart.decision.AttemptOutcome;

/**
 * The result of an attempt.
 *
 * @param outcome whether the request ran, as far as it is known
 * @param isDelivered whether no other response can be sent, because one was sent in full or in part
 *     or because the caller disconnected
 * @param fault why the attempt failed; {@code NONE} also if a daemon refused the call
 * @param status status code of the response, empty if no usable response was received or the
 *     attempt was aborted
 */
record AttemptResult(AttemptOutcome outcome, boolean isDelivered, Fault fault, OptionalInt status) {

  /** Why an attempt failed. */
  enum Fault {
    NONE,
    /** No connection could be established. */
    UNREACHABLE,
    /** The connection failed before the response was complete. */
    BROKEN,
    /** The deadline passed. */
    LATE,
    /** The response belonged to another request, or had no length to prove it complete. */
    UNUSABLE,
    /** The upstream reported that it did not run the request. */
    REFUSED_BY_UPSTREAM,
    /** The upstream responded with a server error, and the call may be retried. */
    FAILED_ANSWER,
    /** The caller disconnected. */
    CALLER_GONE,
    /** The idempotency key was used before, or may have been. */
    REPEATED
  }

  AttemptResult {
    requireNonNull(outcome, "outcome is null");
    requireNonNull(fault, "fault is null");
    requireNonNull(status, "status is null");
  }

  /** Returns the result of an attempt that delivered no response. */
  static AttemptResult undelivered(AttemptOutcome outcome, Fault fault) {
    return new AttemptResult(outcome, false, fault, OptionalInt.empty());
  }
}
