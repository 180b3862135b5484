package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;

/**
 * The load and health of one upstream, as one entry daemon observes them. It consists of the calls
 * in flight from this daemon, the last load report received with an answer, and ejection after
 * failures. Thread-safe.
 */
public final class UpstreamLoad {
  private static final int FAILURES_BEFORE_EJECTION = 2;
  private static final Duration MINIMUM_EJECTION_TIME = Duration.ofMillis(500);
  private static final int MAXIMUM_EJECTION_TIME_DOUBLINGS = 6;

  /**
   * How long an upstream that stated that it leaves gets no calls, whatever is announced: longer
   * than an upstream keeps running after that.
   */
  private static final Duration LEAVING_TIME = Duration.ofSeconds(20);

  /**
   * Failed answers in a row that eject an upstream. The number is higher than for other failures
   * because a faulty request can cause them.
   */
  private static final int FAILED_ANSWERS_BEFORE_EJECTION = 5;

  /**
   * Concurrency limit assumed before the first report, because the upstream may have just started.
   */
  private static final int ASSUMED_LIMIT = 2;

  /** Bounds how much faster or slower than the mean a report can make an upstream look. */
  private static final double MAXIMUM_TIME_RATIO = 4;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private volatile int reportedLimit = ASSUMED_LIMIT;
  private volatile int outstandingFromOthers;
  private volatile Optional<Instant> reportedAt = Optional.empty();
  private volatile Instant ejectedUntil = Instant.MIN;
  private volatile Instant leavingUntil = Instant.MIN;
  private volatile Optional<ReceivedReport> lastReport = Optional.empty();
  private final String identifier;
  private final ServiceLoad serviceLoad;

  // -- construction

  UpstreamLoad(String identifier, ServiceLoad serviceLoad) {
    this.identifier = requireNonNull(identifier, "identifier is null");
    this.serviceLoad = requireNonNull(serviceLoad, "serviceLoad is null");
  }

  // -- events

  /** Records that a call is sent to the upstream. */
  public void recordStart() {
    inFlight.incrementAndGet();
  }

  /** Records that a call has ended, whatever its result. */
  public void recordEnd() {
    inFlight.decrementAndGet();
  }

  /** Records the load report received with an answer. */
  public void recordReport(LoadReport report, Instant now) {
    requireNonNull(report, "report is null");
    reportedAt = Optional.of(now);
    reportedLimit = Math.max(1, report.limit());
    int own = inFlight.get();
    outstandingFromOthers = Math.max(0, report.outstandingCalls() - own);
    lastReport = Optional.of(new ReceivedReport(report, own, now));
    serviceLoad.recordReport(identifier, report);
  }

  /**
   * Records a complete answer. Several failed answers in a row eject the upstream.
   *
   * @param isFailure whether the answer reports a failure of the upstream
   */
  public void recordAnswer(boolean isFailure, Instant now) {
    if (isFailure) {
      ejectAfter(FAILED_ANSWERS_BEFORE_EJECTION, now);
    } else {
      consecutiveFailures.set(0);
    }
  }

  /**
   * Records that the daemon beside the upstream could not be reached or sent no complete answer.
   * Two such failures in a row eject the upstream.
   */
  public void recordFailure(Instant now) {
    ejectAfter(FAILURES_BEFORE_EJECTION, now);
  }

  /** Records a refusal. A refusal that requires another upstream ejects this one immediately. */
  public void recordRefusal(RefusalReason reason, Instant now) {
    requireNonNull(reason, "reason is null");
    if (reason.requiresOtherUpstream()) {
      ejectedUntil = now.plus(reason.avoidanceTime());
    }
  }

  /** Records that the upstream stated in an answer that it leaves. */
  public void recordLeaving(Instant now) {
    leavingUntil = now.plus(LEAVING_TIME);
  }

  private void ejectAfter(int threshold, Instant now) {
    int failures = consecutiveFailures.incrementAndGet();
    if (failures >= threshold) {
      int doublings = Math.min(MAXIMUM_EJECTION_TIME_DOUBLINGS, failures - threshold);
      ejectedUntil = now.plus(MINIMUM_EJECTION_TIME.multipliedBy(1L << doublings));
    }
  }

  // -- queries

  /** Returns the number of calls in flight from this entry daemon. */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Returns the share of the concurrency limit in use if one more call were sent. Above 1, that
   * call would queue.
   */
  public double utilization() {
    return (outstandingFromOthers + inFlight.get() + 1.0) / reportedLimit;
  }

  /**
   * Returns the utilization, multiplied by how long calls take here compared to the mean of the
   * service: an upstream that is twice as fast sustains twice the calls.
   */
  double utilizationTime() {
    double ratio =
        lastReport
            .flatMap(last -> last.report().pace())
            .map(pace -> pace.expectedTime().toNanos() / serviceLoad.callNanoseconds())
            .orElse(1.0);
    return utilization() * Math.max(1 / MAXIMUM_TIME_RATIO, Math.min(MAXIMUM_TIME_RATIO, ratio));
  }

  /**
   * Returns the number of calls running or queued at the upstream, as far as known from its last
   * report and the calls in flight.
   */
  public int outstandingCalls() {
    return outstandingFromOthers + inFlight.get();
  }

  /** Returns the last load report, empty if there was none. */
  Optional<ReceivedReport> lastReport() {
    return lastReport;
  }

  /** Returns the time since the last load report, empty if there was none. */
  public Optional<Duration> reportAge(Instant now) {
    return reportedAt.map(time -> Duration.between(time, now));
  }

  /** Returns whether the upstream is excluded from selection after failures or a refusal. */
  public boolean isEjected(Instant now) {
    return now.isBefore(ejectedUntil);
  }

  /** Returns whether the upstream stated lately that it leaves, so that it must get no calls. */
  public boolean isLeaving(Instant now) {
    return now.isBefore(leavingUntil);
  }
}
