package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.daemon.settings.DaemonLimits;

/**
 * The steps of a graceful shutdown, each as the time since its start.
 *
 * @param closeUpstreamsAfter when the upstreams next to the daemon stop accepting new calls; the
 *     other daemons have been notified of the shutdown by then
 * @param refuseCallersAfter when new calls from callers are refused; calls accepted earlier can
 *     still finish
 * @param abortCallsAfter when the calls that still run are aborted
 */
record ShutdownSchedule(
    Duration closeUpstreamsAfter, Duration refuseCallersAfter, Duration abortCallsAfter) {
  /**
   * Gossip disseminates a departure to a fleet of thousands within two seconds (docs/CAPACITY.md).
   */
  private static final Duration DEFAULT_CLOSE_UPSTREAMS_AFTER = Duration.ofSeconds(2);

  /** One second more, for callers that check readiness once per second. */
  private static final Duration DEFAULT_REFUSE_CALLERS_AFTER = Duration.ofSeconds(3);

  /** The time in which the process closes and writes its last log lines before it is killed. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(500);

  ShutdownSchedule {
    requireNonNull(closeUpstreamsAfter, "closeUpstreamsAfter is null");
    requireNonNull(refuseCallersAfter, "refuseCallersAfter is null");
    requireNonNull(abortCallsAfter, "abortCallsAfter is null");
  }

  /**
   * Returns the schedule for the limits: within the grace time if it is known, otherwise by the
   * drain timeout.
   */
  static ShutdownSchedule of(DaemonLimits limits) {
    requireNonNull(limits, "limits is null");
    return limits
        .graceTime()
        .map(ShutdownSchedule::withinGraceTime)
        .orElseGet(
            () ->
                new ShutdownSchedule(
                    DEFAULT_CLOSE_UPSTREAMS_AFTER,
                    DEFAULT_REFUSE_CALLERS_AFTER,
                    DEFAULT_CLOSE_UPSTREAMS_AFTER.plus(limits.drainTimeout())));
  }

  private static ShutdownSchedule withinGraceTime(Duration graceTime) {
    Duration abortCallsAfter = graceTime.minus(EXIT_MARGIN);
    return new ShutdownSchedule(
        graceTime.dividedBy(3),
        graceTime.dividedBy(2),
        abortCallsAfter.isNegative() ? graceTime : abortCallsAfter);
  }
}
