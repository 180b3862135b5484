package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.daemon.settings.DaemonLimits;

/**
 * The steps of a planned stop, counted from its begin.
 *
 * @param closeUpstreams when the upstreams beside the daemon take no new calls; the others have
 *     learnt of the stop by then
 * @param closeEntry when callers get refusals; calls taken before still have time to end
 * @param end when the calls that still run are cut
 */
record ShutdownSchedule(Duration closeUpstreams, Duration closeEntry, Duration end) {
  /** Gossip tells a fleet of thousands of a departure within two seconds (docs/CAPACITY.md). */
  private static final Duration USUAL_CLOSE_UPSTREAMS = Duration.ofSeconds(2);

  /** A second more for callers that look for readiness once a second. */
  private static final Duration USUAL_CLOSE_ENTRY = Duration.ofSeconds(3);

  /** What the process needs to close and to write its last lines before it is ended. */
  private static final Duration MARGIN = Duration.ofMillis(500);

  ShutdownSchedule {
    requireNonNull(closeUpstreams, "closeUpstreams is null");
    requireNonNull(closeEntry, "closeEntry is null");
    requireNonNull(end, "end is null");
  }

  /** Returns the steps that the limits allow: within the grace time when one is known. */
  static ShutdownSchedule of(DaemonLimits limits) {
    requireNonNull(limits, "limits is null");
    return limits
        .graceTime()
        .map(ShutdownSchedule::within)
        .orElseGet(
            () ->
                new ShutdownSchedule(
                    USUAL_CLOSE_UPSTREAMS,
                    USUAL_CLOSE_ENTRY,
                    USUAL_CLOSE_UPSTREAMS.plus(limits.drainTimeout())));
  }

  private static ShutdownSchedule within(Duration graceTime) {
    Duration end = graceTime.minus(MARGIN);
    return new ShutdownSchedule(
        graceTime.dividedBy(3), graceTime.dividedBy(2), end.isNegative() ? graceTime : end);
  }
}
