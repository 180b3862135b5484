package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.util.StatusCodes;
import java.time.Instant;
import java.util.OptionalInt;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.routing.UpstreamLoad;

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
    /**
     * The response belonged to another request, had no length to prove it complete, was malformed
     * or had an oversized head.
     */
    UNUSABLE,
    /** The upstream reported that it did not run the request. */
    REFUSED_BY_UPSTREAM,
    /** The upstream responded with a server error, and the call may be retried. */
    FAILED_ANSWER,
    /** The caller disconnected. */
    CALLER_GONE,
    /** The idempotency key was used before, or may have been. */
    REPEATED;

    /**
     * Returns the fault that another daemon states as the reason of an unknown outcome; {@code
     * BROKEN} if it states none that matters to an entry.
     */
    static Fault ofReason(String reason) {
      return LATE.name().equals(reason) ? LATE : BROKEN;
    }

    /** Returns the fault of a refusal, {@code NONE} if the call did not reach the upstream. */
    static Fault ofRefusal(RefusalReason reason) {
      return reason == RefusalReason.REFUSED_BY_UPSTREAM ? REFUSED_BY_UPSTREAM : NONE;
    }
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

  // -- queries

  /** Returns whether a status code reports a failure of the server. */
  static boolean isServerError(int statusCode) {
    return statusCode >= StatusCodes.INTERNAL_SERVER_ERROR;
  }

  /** Returns whether a daemon refused the call before it reached an upstream. */
  boolean isRefusedBeforeArrival() {
    return outcome == AttemptOutcome.NOT_RUN && fault == Fault.NONE;
  }

  // -- health of the upstream

  /**
   * Records what the result says about the health of the upstream.
   *
   * @param refusal the reason if a daemon refused the call, otherwise ignored
   */
  void recordHealth(UpstreamLoad load, RefusalReason refusal, Instant now) {
    if (isDelivered && status.isPresent()) {
      load.recordAnswer(isServerError(status.getAsInt()), now);
    }
    if (isRefusedBeforeArrival()) {
      load.recordRefusal(refusal, now);
    }
    switch (fault) {
      case UNREACHABLE, BROKEN, LATE, UNUSABLE -> load.recordFailure(now);
      case REFUSED_BY_UPSTREAM, FAILED_ANSWER -> load.recordAnswer(true, now);
      case NONE, CALLER_GONE, REPEATED -> {}
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
  }
}
