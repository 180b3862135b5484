package org.parsleycart.decision.routing;

import java.util.ArrayList;
import java.util.List;
import org.parsleycart.decision.admission.CallPace;
import org.parsleycart.decision.admission.LoadReport;

/**
 * What the load reports of all upstreams of one service show to one entry daemon: which upstreams
 * reported last, how full they are on average, and how long calls take. Thread-safe.
 */
final class ServiceLoad {
  /** More candidates, by a report each, gave no better figures in the simulated fleet. */
  private static final int RECENT_REPORTS = 6;

  /** Weight of a new report in the averages, which cover roughly the last 30 reports. */
  private static final double REPORT_WEIGHT = 0.03;

  /** A single report counts at most as this many calls for each slot. */
  private static final double MAXIMUM_UTILIZATION = 4;

  private static final double INITIAL_UTILIZATION = 0.5;
  private static final double INITIAL_CALL_NANOSECONDS = 100_000_000;

  /** A single pace changes the mean time at most by this factor each way. */
  private static final double MAXIMUM_TIME_RATIO = 8;

  private final List<String> recent = new ArrayList<>(RECENT_REPORTS + 1);
  private double utilization = INITIAL_UTILIZATION;
  private double callNanoseconds;
  private boolean isPaced;

  // -- events

  synchronized void recordReport(String upstream, LoadReport report) {
    recent.remove(upstream);
    recent.add(0, upstream);
    if (recent.size() > RECENT_REPORTS) {
      recent.remove(RECENT_REPORTS);
    }
    double reported = (double) report.outstandingCalls() / Math.max(1, report.limit());
    utilization += (Math.min(MAXIMUM_UTILIZATION, reported) - utilization) * REPORT_WEIGHT;
    isPaced |= report.pace().filter(CallPace::isStated).isPresent();
    report.pace().map(CallPace::expectedTime).ifPresent(time -> recordTime(time.toNanos()));
  }

  private void recordTime(long nanoseconds) {
    double time = Math.max(1, nanoseconds);
    if (callNanoseconds == 0) {
      callNanoseconds = time;
    } else {
      double bounded =
          Math.max(
              callNanoseconds / MAXIMUM_TIME_RATIO,
              Math.min(callNanoseconds * MAXIMUM_TIME_RATIO, time));
      callNanoseconds += (bounded - callNanoseconds) * REPORT_WEIGHT;
    }
  }

  // -- queries

  /** Returns the upstreams that reported last, the latest first. */
  synchronized List<String> recentUpstreams() {
    return List.copyOf(recent);
  }

  /** Returns whether any upstream of the service has stated how its pace changes. */
  synchronized boolean isPaced() {
    return isPaced;
  }

  /** Returns the mean of outstanding calls for each slot. */
  synchronized double utilization() {
    return utilization;
  }

  /** Returns the mean time of a call in nanoseconds, a guess before the first report. */
  synchronized double callNanoseconds() {
    return callNanoseconds == 0 ? INITIAL_CALL_NANOSECONDS : callNanoseconds;
  }
}
