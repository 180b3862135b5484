package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Optional;
import org.parsleycart.decision.usage.DutyOperation.WriteLease;

/**
 * One daemon that takes part in the duty: it contends for the lease and reports while it holds it.
 * Immutable; the caller performs the call that it returns, at once, and applies its result.
 *
 * <p>A call for a report is returned only while the lease certainly lasts. A process that was
 * paused must therefore ask again before it makes a call.
 *
 * @param lease what this process knows of the lease
 * @param plan the windows to report; only of use while the lease is held
 */
public record DutyHolder(LeaseState lease, UsageReportPlan plan) {

  // -- construction

  public DutyHolder {
    requireNonNull(lease, "lease is null");
    requireNonNull(plan, "plan is null");
  }

  private DutyHolder with(LeaseState newLease) {
    return new DutyHolder(newLease, plan);
  }

  private DutyHolder with(UsageReportPlan newPlan) {
    return new DutyHolder(lease, newPlan);
  }

  // -- queries

  /** Returns the next call for the lease, empty if there is none now. */
  public Optional<DutyOperation> nextForLease(ClockReading now) {
    return lease.next(now, plan.reportedThrough());
  }

  /**
   * Returns the next call for the reports, empty if there is none now or the lease may have
   * expired.
   *
   * @param time the time by which windows end
   * @param isGathered whether the counts of all daemons have been gathered for the next window
   */
  public Optional<DutyOperation> nextForReports(
      ClockReading now, Instant time, boolean isGathered) {
    return lease.isHeld(now) ? plan.next(now, time, isGathered, lease.token()) : Optional.empty();
  }

  /** Returns whether this process should let another daemon try to reach the platform. */
  public boolean shouldResign(ClockReading now) {
    return lease.isHeld(now) && plan.shouldResign();
  }

  /**
   * Returns the last window that the lease row names as done, as far as this process wrote it;
   * empty unless the lease is held. Rows of windows up to it are no longer needed.
   */
  public Optional<Long> storedMark(ClockReading now) {
    return lease.isHeld(now)
        ? lease.held().map(held -> held.content().reportedThrough())
        : Optional.empty();
  }

  // -- events of the lease

  /** Applies a read of the lease row, as {@link LeaseState#observe}. */
  public DutyHolder observedLease(
      Optional<LeaseRecord> content, long revision, ClockReading receivedAt) {
    return with(lease.observe(content, revision, receivedAt));
  }

  /** Records that the platform was restored, as {@link LeaseState#restored}. */
  public DutyHolder platformRestored(ClockReading now) {
    return with(lease.restored(now));
  }

  /** Applies a write of the lease row that was answered. */
  public DutyHolder wroteLease(
      WriteLease write, boolean isWritten, ClockReading sentAt, ClockReading now) {
    if (!isWritten) {
      return with(lease.deny(now));
    }
    boolean isContinued = lease.isHeld(now);
    LeaseState confirmed = lease.confirm(write.content(), sentAt);
    UsageReportPlan continued =
        isContinued
            ? plan
            : UsageReportPlan.after(plan.schedule(), write.content().reportedThrough());
    return new DutyHolder(confirmed, continued);
  }

  /** Applies a call for the lease that failed. */
  public DutyHolder leaseFailed(ClockReading now) {
    return with(lease.fail(now));
  }

  /** Stops acting as the holder. */
  public DutyHolder resigned(ClockReading now) {
    return new DutyHolder(
        lease.resign(now), UsageReportPlan.after(plan.schedule(), plan.reportedThrough()));
  }

  // -- events of the reports

  /** Applies a read of the stored report of the next window. */
  public DutyHolder readReport(Optional<String> stored) {
    return with(plan.lookedUp(stored));
  }

  /** Applies an answered attempt to store the report of the next window. */
  public DutyHolder insertedReport(String content, boolean isInserted) {
    return with(plan.stored(content, isInserted));
  }

  /** Applies a call to the store for the next window that failed. */
  public DutyHolder reportFailed(ClockReading now, double jitter) {
    return with(plan.storeFailed(now, jitter));
  }

  /** Applies the result of a post, as {@link UsageReportPlan#posted}. */
  public DutyHolder postedReport(PostResult result, ClockReading now, double jitter) {
    return with(plan.posted(result, now, jitter));
  }

  /** Gives up the windows up to the given one. */
  public DutyHolder abandonedThrough(long window) {
    return with(plan.abandonedThrough(window));
  }
}
