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
  private static final int FAILURES_BEFORE_SETTING_ASIDE = 2;
  private static final Duration SHORTEST_SETTING_ASIDE = Duration.ofMillis(500);
  private static final Duration SETTING_ASIDE_AFTER_REFUSAL = Duration.ofSeconds(1);
  private static final int MOST_DOUBLINGS = 6;

  /**
   * Failures answered in a row that set an upstream aside; more, as one request may be at fault.
   */
  private static final int FAILED_ANSWERS_BEFORE_SETTING_ASIDE = 5;

  /** What an upstream bears before its first report: it may have just started. */
  private static final int ASSUMED_LIMIT = 2;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private volatile int reportedLimit = ASSUMED_LIMIT;
  private volatile int reportedByOthers;
  private volatile Instant setAsideUntil = Instant.MIN;

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
    reportedByOthers = Math.max(0, report.outstandingCalls() - inFlight.get());
  }

  /** Takes note of a whole answer and whether it says that the upstream failed. */
  public void recordAnswer(boolean failed, Instant now) {
    if (failed) {
      ejectAfter(FAILED_ANSWERS_BEFORE_SETTING_ASIDE, now);
    } else {
      consecutiveFailures.set(0);
    }
  }

  /** Takes note that the daemon beside the upstream could not be reached or broke off. */
  public void recordFailure(Instant now) {
    ejectAfter(FAILURES_BEFORE_SETTING_ASIDE, now);
  }

  /** Takes note of a refusal; one that sends calls elsewhere sets the upstream aside at once. */
  public void recordRefusal(RefusalReason reason, Instant now) {
    requireNonNull(reason, "reason is null");
    if (reason.requiresOtherUpstream()) {
      setAsideUntil = now.plus(SETTING_ASIDE_AFTER_REFUSAL);
    }
  }

  private void ejectAfter(int threshold, Instant now) {
    int failures = consecutiveFailures.incrementAndGet();
    if (failures >= threshold) {
      int doublings = Math.min(MOST_DOUBLINGS, failures - threshold);
      setAsideUntil = now.plus(SHORTEST_SETTING_ASIDE.multipliedBy(1L << doublings));
    }
  }

  // -- queries

  /** Returns the calls in flight from this entry. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the share of the limit in use if one more call were sent; above 1 it would wait. */
  public double utilization() {
    return (reportedByOthers + inFlight.get() + 1.0) / reportedLimit;
  }

  /** Returns the calls that the upstream was busy with, as far as reported. */
  public int outstandingCalls() {
    return reportedByOthers + inFlight.get();
  }

  /** Returns whether failures in a row keep the upstream out of the choice. */
  public boolean isEjected(Instant now) {
    return now.isBefore(setAsideUntil);
  }
}
