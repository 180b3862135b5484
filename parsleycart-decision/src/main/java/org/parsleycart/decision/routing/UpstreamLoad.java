package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;

/**
 * What one entry knows of the load of one upstream: its own calls in flight, the last report that
 * rode on an answer, and failures that set the upstream aside. Safe for use by several threads.
 */
public final class UpstreamLoad {
  private static final int FAILURES_BEFORE_EJECTION = 2;
  private static final Duration MINIMUM_EJECTION_TIME = Duration.ofMillis(500);
  private static final Duration EJECTION_TIME_AFTER_REFUSAL = Duration.ofSeconds(1);
  private static final int MAXIMUM_EJECTION_TIME_DOUBLINGS = 6;

  /**
   * Failures answered in a row that set an upstream aside; more, as one request may be at fault.
   */
  private static final int FAILED_ANSWERS_BEFORE_EJECTION = 5;

  /** What an upstream bears before its first report: it may have just started. */
  private static final int ASSUMED_LIMIT = 2;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private volatile int reportedLimit = ASSUMED_LIMIT;
  private volatile int outstandingFromOthers;
  private volatile Instant ejectedUntil = Instant.MIN;

  // -- construction

  UpstreamLoad() {}

  // -- events

  /** Takes note that a call is sent. */
  public void recordStart() {
    inFlight.incrementAndGet();
  }

  /** Takes note that a call has ended in any way. */
  public void recordEnd() {
    inFlight.decrementAndGet();
  }

  /** Takes the load that an answer reported. */
  public void recordReport(LoadReport report) {
    requireNonNull(report, "report is null");
    reportedLimit = Math.max(1, report.limit());
    outstandingFromOthers = Math.max(0, report.outstandingCalls() - inFlight.get());
  }

  /** Takes note of a whole answer and whether it says that the upstream failed. */
  public void recordAnswer(boolean isFailure, Instant now) {
    if (isFailure) {
      ejectAfter(FAILED_ANSWERS_BEFORE_EJECTION, now);
    } else {
      consecutiveFailures.set(0);
    }
  }

  /** Takes note that the daemon beside the upstream could not be reached or broke off. */
  public void recordFailure(Instant now) {
    ejectAfter(FAILURES_BEFORE_EJECTION, now);
  }

  /** Takes note of a refusal; one that sends calls elsewhere sets the upstream aside at once. */
  public void recordRefusal(RefusalReason reason, Instant now) {
    requireNonNull(reason, "reason is null");
    if (reason.requiresOtherUpstream()) {
      ejectedUntil = now.plus(EJECTION_TIME_AFTER_REFUSAL);
    }
  }

  private void ejectAfter(int threshold, Instant now) {
    int failures = consecutiveFailures.incrementAndGet();
    if (failures >= threshold) {
      int doublings = Math.min(MAXIMUM_EJECTION_TIME_DOUBLINGS, failures - threshold);
      ejectedUntil = now.plus(MINIMUM_EJECTION_TIME.multipliedBy(1L << doublings));
    }
  }

  // -- queries

  /** Returns the calls in flight from this entry. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the share of the limit in use if one more call were sent; above 1 it would wait. */
  public double utilization() {
    return (outstandingFromOthers + inFlight.get() + 1.0) / reportedLimit;
  }

  /** Returns the calls that the upstream was busy with, as far as reported. */
  public int outstandingCalls() {
    return outstandingFromOthers + inFlight.get();
  }

  /** Returns whether failures in a row keep the upstream out of the choice. */
  public boolean isEjected(Instant now) {
    return now.isBefore(ejectedUntil);
  }
}
