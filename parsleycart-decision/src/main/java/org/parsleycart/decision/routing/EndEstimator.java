package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.parsleycart.decision.admission.CallPace;

/**
 * Estimates when a call would end at an upstream. The calls that the last report counts for other
 * daemons decay towards the average of the service with the age of the report, in usual times of a
 * call; own calls in flight are known and come on top. The number of calls is taken as normally
 * distributed around that mean, with a variance that grows with the age of the report.
 *
 * <p>The figures of the constants come from the runs in {@code docs/design/even-load.md}.
 */
final class EndEstimator {
  /** How fast the knowledge of a report is lost, for each usual time of a call. */
  private static final double LOSS_PER_CALL_TIME = 1.7;

  /** A report that is older than this many times of a call counts as unknown. */
  private static final double MAXIMUM_AGE_IN_CALL_TIMES = 4;

  /** Variance of the outstanding calls for each slot, at an upstream without a report. */
  private static final double VARIANCE_PER_SLOT = 0.5;

  /** Keeps a standing queue from making all unknown upstreams look equally bad. */
  private static final double MAXIMUM_UNKNOWN_UTILIZATION = 0.95;

  /**
   * Other daemons that heard of the same idle slots also send calls: a quarter of a call for each
   * own call since the report, and a quarter of a call at once.
   */
  private static final double CALLS_OF_OTHERS = 0.25;

  /** Weight of the time of a call; more draws calls to fast upstreams until they queue. */
  private static final double CALL_TIME_WEIGHT = 0.01;

  /** What bytes to another zone cost, in usual times of a call. */
  private static final double ZONE_COST = 0.05;

  /** Twice the way between zones. */
  private static final double ZONE_ROUND_TRIP_NANOSECONDS = 2_300_000;

  /** Bounds how much faster or slower than the mean a report can make an upstream look. */
  private static final double MAXIMUM_TIME_RATIO = 4;

  private static final double LATE_COST = 1_000;

  /** Scale at which the logistic function is close to the normal distribution function. */
  private static final double LOGISTIC_SCALE = 1.702;

  private final UpstreamLoadTable loads;

  // -- construction

  EndEstimator(UpstreamLoadTable loads) {
    this.loads = requireNonNull(loads, "loads is null");
  }

  // -- queries

  /** Estimates what a call to the candidate would meet. Does not change any state. */
  CallEstimate estimate(Candidate candidate, boolean isInLocalZone, Instant now, Instant deadline) {
    ServiceLoad service = loads.ofService(candidate);
    Optional<UpstreamLoad> load = loads.find(candidate);
    Optional<ReceivedReport> report = load.flatMap(UpstreamLoad::lastReport);
    int slots =
        Math.max(1, report.map(last -> last.report().limit()).orElse(candidate.upstream().slots()));
    double usualTime = service.callNanoseconds();
    double callTime =
        report
            .flatMap(last -> last.report().pace())
            .map(CallPace::expectedTime)
            .map(time -> bounded((double) time.toNanos(), usualTime))
            .orElse(usualTime);
    double knowledge =
        report.map(last -> knowledge(Duration.between(last.at(), now), callTime)).orElse(0.0);
    int own = load.map(UpstreamLoad::inFlight).orElse(0);
    double unknownUtilization = Math.min(MAXIMUM_UNKNOWN_UTILIZATION, service.utilization());
    double outstanding =
        own
            + (1 - knowledge) * unknownUtilization * slots
            + report.map(last -> knowledge * last.callsOfOthers()).orElse(0.0)
            + CALLS_OF_OTHERS
                * (knowledge + Math.max(0, own - report.map(ReceivedReport::ownCalls).orElse(0)));
    double deviation =
        Math.sqrt(VARIANCE_PER_SLOT * slots * (1 - knowledge * knowledge) + Double.MIN_NORMAL);
    double excess = outstanding + 1 - slots;
    double waitProbability = normalDistribution(excess / deviation);
    double callsAhead = excess * waitProbability + deviation * normalDensity(excess / deviation);
    double wait = Math.max(0, callsAhead) / slots * callTime;
    double zoneTime = isInLocalZone ? 0 : ZONE_ROUND_TRIP_NANOSECONDS;
    Duration expectedEnd = Duration.ofNanos((long) (wait + callTime + zoneTime));
    boolean isInTime = !now.plus(expectedEnd).isAfter(deadline);
    double cost =
        waitProbability
            + (wait + CALL_TIME_WEIGHT * callTime + zoneTime) / usualTime
            + (isInLocalZone ? 0 : ZONE_COST)
            + (isInTime ? 0 : LATE_COST);
    return new CallEstimate(outstanding, waitProbability, expectedEnd, isInTime, cost);
  }

  private static double knowledge(Duration age, double callTime) {
    double callTimes = (double) Math.max(0, age.toNanos()) / callTime;
    return callTimes > MAXIMUM_AGE_IN_CALL_TIMES ? 0 : Math.exp(-LOSS_PER_CALL_TIME * callTimes);
  }

  private static double bounded(double time, double usualTime) {
    return Math.max(usualTime / MAXIMUM_TIME_RATIO, Math.min(usualTime * MAXIMUM_TIME_RATIO, time));
  }

  private static double normalDistribution(double deviations) {
    return 1 / (1 + Math.exp(-LOGISTIC_SCALE * deviations));
  }

  private static double normalDensity(double deviations) {
    return Math.exp(-deviations * deviations / 2) / Math.sqrt(2 * Math.PI);
  }
}
