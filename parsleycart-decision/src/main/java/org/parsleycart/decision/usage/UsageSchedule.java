package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The times of the usage duty.
 *
 * @param windows the windows of the reports
 * @param settleTime how long after the end of a window its counts are gathered first
 * @param storeAfter how long after the end of a window its report is stored without the daemons
 *     that have not answered
 * @param due how long after the end of a window its report is due
 * @param maximumAge how long after its end a window is still reported
 * @param callSpacing the shortest time between two calls to the platform
 * @param retryPause the pause after a first failure, which doubles with each further one
 */
public record UsageSchedule(
    UsageWindows windows,
    Duration settleTime,
    Duration storeAfter,
    Duration due,
    Duration maximumAge,
    Duration callSpacing,
    Duration retryPause) {
  /** A tenth of the time that the report may take, for answers that tell of calls not run. */
  private static final double SETTLE_SHARE = 0.1;

  /** Half of the time that the report may take; the rest is left for failed calls. */
  private static final double STORE_SHARE = 0.5;

  /** Reports after a longer outage would be of little use, and daemons keep counts for as long. */
  private static final Duration MAXIMUM_AGE = Duration.ofMinutes(2);

  private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

  // -- construction

  public UsageSchedule {
    requireNonNull(windows, "windows is null");
    requireNonNull(settleTime, "settleTime is null");
    requireNonNull(storeAfter, "storeAfter is null");
    requireNonNull(due, "due is null");
    requireNonNull(maximumAge, "maximumAge is null");
    requireNonNull(callSpacing, "callSpacing is null");
    requireNonNull(retryPause, "retryPause is null");
  }

  /**
   * Returns the schedule for the bounds of a deployment.
   *
   * @param late how long after the end of a window its report is due
   * @param callsPerSecond the calls that the platform takes from all daemons together; a holder
   *     uses half of them, so that two successive holders stay within the bound
   */
  public static UsageSchedule of(UsageWindows windows, Duration late, double callsPerSecond) {
    Duration spacing = Duration.ofMillis((long) Math.ceil(2 * 1000 / callsPerSecond));
    return new UsageSchedule(
        windows,
        share(late, SETTLE_SHARE),
        share(late, STORE_SHARE),
        late,
        MAXIMUM_AGE.compareTo(late) > 0 ? MAXIMUM_AGE : late,
        spacing,
        RETRY_PAUSE);
  }

  private static Duration share(Duration time, double share) {
    return Duration.ofMillis((long) (time.toMillis() * share));
  }
}
