package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/**
 * The windows that the holder has to report, the oldest first. Immutable.
 *
 * @param reportedThrough the last window that is done
 * @param isLookedUp whether the store was asked for the report of the next window
 * @param content the stored report of the next window, empty if none is known
 * @param failures the failed calls since the last accepted report
 * @param retryAt the reading of the boot clock before which no further call is made
 */
public record UsageReportPlan(
    UsageSchedule schedule,
    long reportedThrough,
    boolean isLookedUp,
    Optional<String> content,
    int failures,
    long retryAt) {
  private static final int MAXIMUM_DOUBLINGS = 5;

  /**
   * After this many failures in a row the platform may be reachable from another VM. With the
   * pauses and time-outs between them this takes some five seconds.
   */
  private static final int FAILURES_BEFORE_RESIGNATION = 5;

  // -- construction

  public UsageReportPlan {
    requireNonNull(schedule, "schedule is null");
    requireNonNull(content, "content is null");
  }

  /** Returns a plan that goes on after the given window. */
  public static UsageReportPlan after(UsageSchedule schedule, long reportedThrough) {
    return new UsageReportPlan(schedule, reportedThrough, false, Optional.empty(), 0, 0);
  }

  // -- queries

  /** Returns the oldest window that is not done. */
  public long window() {
    return reportedThrough + 1;
  }

  /** Returns the windows whose counts are to be gathered now. */
  public List<Long> gatherable(Instant now) {
    long last = schedule.windows().at(now.minus(schedule.settleTime())) - 1;
    long first = Math.max(window(), schedule.windows().at(now.minus(schedule.maximumAge())));
    return LongStream.rangeClosed(first, last).boxed().toList();
  }

  /**
   * Returns the next call for the reports, empty if there is none now.
   *
   * @param time the time by which windows end
   * @param isGathered whether the counts of all daemons have been gathered for the next window
   */
  Optional<DutyOperation> next(ClockReading now, Instant time, boolean isGathered, long token) {
    Instant end = schedule.windows().endOf(window());
    if (time.isAfter(end.plus(schedule.maximumAge()))) {
      long oldest = schedule.windows().at(time.minus(schedule.maximumAge()));
      return Optional.of(new DutyOperation.AbandonWindows(window(), oldest - 1));
    }
    if (time.isBefore(end.plus(schedule.settleTime())) || now.boot() < retryAt) {
      return Optional.empty();
    }
    if (!isLookedUp) {
      return Optional.of(new DutyOperation.ReadReport(window()));
    }
    if (content.isPresent()) {
      return Optional.of(new DutyOperation.PostReport(window(), token, content.get()));
    }
    return isGathered || !time.isBefore(end.plus(schedule.storeAfter()))
        ? Optional.of(new DutyOperation.InsertReport(window()))
        : Optional.empty();
  }

  /** Returns whether the platform has failed so often that another daemon should try. */
  boolean shouldResign() {
    return failures >= FAILURES_BEFORE_RESIGNATION;
  }

  // -- events

  /** Applies a read of the stored report of the next window. */
  UsageReportPlan lookedUp(Optional<String> stored) {
    return new UsageReportPlan(schedule, reportedThrough, true, stored, failures, retryAt);
  }

  /** Applies an attempt to store a report; unless it succeeded, the store is asked again. */
  UsageReportPlan stored(String inserted, boolean isInserted) {
    return isInserted ? lookedUp(Optional.of(inserted)) : lookUpAgain();
  }

  /** Applies a call to the store that failed, after which the row is read. */
  UsageReportPlan storeFailed(ClockReading now, double jitter) {
    return lookUpAgain().pause(now, jitter, Math.min(failures + 1, MAXIMUM_DOUBLINGS), failures);
  }

  private UsageReportPlan lookUpAgain() {
    return new UsageReportPlan(
        schedule, reportedThrough, false, Optional.empty(), failures, retryAt);
  }

  /**
   * Applies the result of a post.
   *
   * @param jitter from 0 to 1, spreads the calls of successive holders
   */
  UsageReportPlan posted(PostResult result, ClockReading now, double jitter) {
    return switch (result) {
      case ACCEPTED ->
          new UsageReportPlan(
              schedule,
              window(),
              false,
              Optional.empty(),
              0,
              now.boot() + schedule.callSpacing().toMillis());
      case BUSY -> pause(now, jitter, Math.min(failures + 1, MAXIMUM_DOUBLINGS), failures);
      case FAILED -> pause(now, jitter, Math.min(failures, MAXIMUM_DOUBLINGS), failures + 1);
    };
  }

  private UsageReportPlan pause(ClockReading now, double jitter, int doublings, int newFailures) {
    Duration longest = schedule.retryPause().multipliedBy(1L << doublings);
    long pause = (long) (longest.toMillis() * (1 + jitter) / 2);
    return new UsageReportPlan(
        schedule,
        reportedThrough,
        isLookedUp,
        content,
        newFailures,
        now.boot() + Math.max(pause, schedule.callSpacing().toMillis()));
  }

  /** Gives up the windows up to the given one. */
  UsageReportPlan abandonedThrough(long window) {
    return after(schedule, Math.max(reportedThrough, window));
  }
}
