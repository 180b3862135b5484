package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.daemon.settings.DaemonLimits;

/**
 * The steps of a planned stop, counted from its begin.
 *
 * @param closeUpstreamsAfter when the upstreams beside the daemon take no new calls; the others
 *     have learnt of the stop by then
 * @param refuseCallersAfter when callers get refusals; calls taken before still have time to end
 * @param abortCallsAfter when the calls that still run are cut
 */
record ShutdownSchedule(
    Duration closeUpstreamsAfter, Duration refuseCallersAfter, Duration abortCallsAfter) {
  /** Gossip tells a fleet of thousands of a departure within two seconds (docs/CAPACITY.md). */
  private static final Duration DEFAULT_CLOSE_UPSTREAMS_AFTER = Duration.ofSeconds(2);

  /** A second more for callers that look for readiness once a second. */
  private static final Duration DEFAULT_REFUSE_CALLERS_AFTER = Duration.ofSeconds(3);

  /** What the process needs to close and to write its last lines before it is ended. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(500);

  ShutdownSchedule {
    requireNonNull(closeUpstreamsAfter, "closeUpstreamsAfter is null");
    requireNonNull(refuseCallersAfter, "refuseCallersAfter is null");
    requireNonNull(abortCallsAfter, "abortCallsAfter is null");
  }

  /** Returns the steps that the limits allow: within the grace time when one is known. */
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
