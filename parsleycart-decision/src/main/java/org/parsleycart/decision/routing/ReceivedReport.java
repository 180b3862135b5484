package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import org.parsleycart.decision.admission.LoadReport;

/**
 * The last load report of an upstream.
 *
 * @param ownCalls the calls in flight from this daemon when it arrived; the report counts them
 * @param at when it arrived
 */
record ReceivedReport(LoadReport report, int ownCalls, Instant at) {
  ReceivedReport {
    requireNonNull(report, "report is null");
    requireNonNull(at, "at is null");
  }

  /** Returns the calls of other daemons that the report counts. */
  int callsOfOthers() {
    return Math.max(0, report.outstandingCalls() - ownCalls);
  }
}
