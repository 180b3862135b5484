package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What one process knows of the lease. Immutable.
 *
 * <p>Only a write that was answered as successful gives or renews the lease, counted from before
 * the write was sent. Another process counts from when it received the row that the write left, and
 * therefore always later. A write without an answer gives nothing: the row is read and written
 * again.
 *
 * @param holder the name of this daemon
 * @param process distinguishes the processes of this daemon
 * @param length how long a renewal lasts
 * @param seen the row as last read, empty before the first read
 * @param isFresh whether no write was sent since the row was read
 * @param readAgainAt the reading of the boot clock from which the row is read again
 * @param held the lease if this process has it, by its last write
 * @param lastHeldAt when this process may have held the lease last; its start if never, since an
 *     earlier process of the daemon may have held it until then
 * @param newest the content with the largest token and mark that was read or written, which a
 *     restored platform may have lost
 * @param restoredAt when the platform was known to have been restored from a copy, empty if never
 */
public record LeaseState(
    String holder,
    String process,
    Duration length,
    Optional<SeenLease> seen,
    boolean isFresh,
    long readAgainAt,
    Optional<HeldLease> held,
    ClockReading lastHeldAt,
    Optional<LeaseRecord> newest,
    Optional<ClockReading> restoredAt) {
  /**
   * The holder stops earlier than others may take the lease. The rest covers clocks that run at
   * different speeds and the way of a last call to the platform.
   */
  private static final double USABLE_SHARE = 0.8;

  private static final int RENEWALS_PER_LENGTH = 3;
  private static final int RETRIES_PER_LENGTH = 10;

  /**
   * A daemon that held the lease within this many lengths waits one length more after another
   * holder, so that no two of its turns lie within one length around the turn of another.
   */
  private static final int LENGTHS_AS_FORMER_HOLDER = 4;

  /**
   * A row as read.
   *
   * @param revision the revision, 0 if there is no row
   * @param firstSeenAt when this revision was received first
   */
  public record SeenLease(Optional<LeaseRecord> content, long revision, ClockReading firstSeenAt) {}

  /**
   * The lease as this process has it.
   *
   * @param content the content of the last successful write
   * @param since the reading of the clocks before that write was sent
   */
  public record HeldLease(LeaseRecord content, ClockReading since) {}

  // -- construction

  public LeaseState {
    requireNonNull(holder, "holder is null");
    requireNonNull(process, "process is null");
    requireNonNull(length, "length is null");
    requireNonNull(seen, "seen is null");
    requireNonNull(held, "held is null");
    requireNonNull(lastHeldAt, "lastHeldAt is null");
    requireNonNull(newest, "newest is null");
    requireNonNull(restoredAt, "restoredAt is null");
  }

  /** Returns the state of a process that starts now and knows nothing of the row. */
  public static LeaseState initial(
      String holder, String process, Duration length, ClockReading now) {
    return new LeaseState(
        holder,
        process,
        length,
        Optional.empty(),
        false,
        now.boot(),
        Optional.empty(),
        now,
        Optional.empty(),
        Optional.empty());
  }

  private LeaseState with(
      Optional<SeenLease> newSeen,
      boolean newIsFresh,
      long newReadAgainAt,
      Optional<HeldLease> newHeld) {
    ClockReading last = newHeld.map(HeldLease::since).orElse(lastHeldAt);
    Optional<LeaseRecord> newNewest =
        Stream.of(
                newest, newSeen.flatMap(SeenLease::content), newHeld.map(lease -> lease.content()))
            .flatMap(Optional::stream)
            .reduce(LeaseRecord::newest);
    return new LeaseState(
        holder,
        process,
        length,
        newSeen,
        newIsFresh,
        newReadAgainAt,
        newHeld,
        last,
        newNewest,
        restoredAt);
  }

  // -- queries

  /** Returns whether the lease certainly has not expired. */
  public boolean isHeld(ClockReading now) {
    return held.filter(lease -> lease.since().isCertainlyWithin(usableTime(), now)).isPresent();
  }

  /** Returns how long the lease certainly lasts, zero if it may have expired. */
  public Duration remaining(ClockReading now) {
    return isHeld(now)
        ? usableTime().minus(held.orElseThrow().since().possiblyPassed(now))
        : Duration.ZERO;
  }

  private Duration usableTime() {
    return Duration.ofMillis((long) (length.toMillis() * USABLE_SHARE));
  }

  /** Returns the fencing token of the lease, 0 without one. */
  public long token() {
    return held.map(lease -> lease.content().token()).orElse(0L);
  }

  /**
   * Returns the next call for the lease, empty if there is none now.
   *
   * @param reportedThrough the last window accepted or abandoned, stored with the next renewal; of
   *     a first lease, the window before the first one to report
   */
  public Optional<DutyOperation> next(ClockReading now, long reportedThrough) {
    if (isFresh) {
      SeenLease row = seen.orElseThrow();
      return write(row, now, reportedThrough)
          .map(content -> new DutyOperation.WriteLease(content, row.revision()));
    }
    return now.boot() >= readAgainAt
        ? Optional.of(new DutyOperation.ReadLease())
        : Optional.empty();
  }

  private Optional<LeaseRecord> write(SeenLease row, ClockReading now, long reportedThrough) {
    if (isHeld(now) && isLost(row.content())) {
      return held.map(lease -> lease.content().renewed(reportedThrough));
    }
    if (!isHeld(now) && mayBeHeldUnseen(now)) {
      return Optional.empty();
    }
    if (row.content().isEmpty()) {
      return Optional.of(
          newest
              .map(lost -> lost.takenOverBy(holder, process))
              .orElseGet(() -> new LeaseRecord(holder, process, 1, false, reportedThrough)));
    }
    LeaseRecord content = row.content().get();
    if (content.isOf(holder, process)) {
      // The mark of this process is newer than the row only while it holds the lease.
      return Optional.of(
          content.renewed(held.isPresent() ? reportedThrough : content.reportedThrough()));
    }
    return isFree(row, content, now)
        ? Optional.of(newest.map(content::newest).orElse(content).takenOverBy(holder, process))
        : Optional.empty();
  }

  /** Returns whether a restored platform has lost the row that this process wrote as the holder. */
  private boolean isLost(Optional<LeaseRecord> content) {
    return restoredAt.isPresent()
        && content
            .filter(record -> record.isOf(holder, process) || record.token() > token())
            .isEmpty();
  }

  /**
   * Returns whether another process may hold the lease by a row that a restored platform has lost.
   */
  private boolean mayBeHeldUnseen(ClockReading now) {
    return restoredAt.filter(at -> at.certainlyPassed(now).compareTo(length) < 0).isPresent();
  }

  private boolean isFree(SeenLease row, LeaseRecord content, ClockReading now) {
    boolean wasHolder =
        !content.holder().equals(holder)
            && lastHeldAt
                    .certainlyPassed(now)
                    .compareTo(length.multipliedBy(LENGTHS_AS_FORMER_HOLDER))
                < 0;
    int lengths = (content.isReleased() ? 0 : 1) + (wasHolder ? 1 : 0);
    return row.firstSeenAt().certainlyPassed(now).compareTo(length.multipliedBy(lengths)) >= 0;
  }

  // -- events

  /**
   * Applies a read of the row.
   *
   * @param content the content, empty if there is no row
   * @param revision the revision, 0 if there is no row
   * @param receivedAt the clocks after the row was received
   */
  public LeaseState observe(Optional<LeaseRecord> content, long revision, ClockReading receivedAt) {
    SeenLease row =
        seen.filter(earlier -> earlier.revision() == revision)
            .orElseGet(() -> new SeenLease(content, revision, receivedAt));
    boolean isOwn =
        content.filter(record -> record.isOf(holder, process)).isPresent() || isLost(content);
    LeaseState observed =
        with(Optional.of(row), true, nextRead(receivedAt), isOwn ? held : Optional.empty());
    return observed.write(row, receivedAt, 0).isPresent()
        ? observed
        : observed.with(observed.seen, false, observed.readAgainAt, observed.held);
  }

  /**
   * Records that the platform was restored from a copy. The row may show an earlier holder: the
   * holder writes it again, and other processes wait until a lost renewal has expired.
   */
  public LeaseState restored(ClockReading now) {
    return new LeaseState(
        holder,
        process,
        length,
        Optional.empty(),
        false,
        now.boot(),
        held,
        lastHeldAt,
        newest,
        Optional.of(now));
  }

  /** Applies a write that succeeded; {@code sentAt} are the clocks before it was sent. */
  public LeaseState confirm(LeaseRecord written, ClockReading sentAt) {
    if (written.isReleased()) {
      return with(seen, false, nextRead(sentAt), Optional.empty());
    }
    return with(seen, false, nextRead(sentAt), Optional.of(new HeldLease(written, sentAt)));
  }

  /** Applies a write that another one preceded. */
  public LeaseState deny(ClockReading now) {
    return with(seen, false, nextRead(now), Optional.empty());
  }

  /** Applies a read or write without an answer, after which the row is soon read again. */
  public LeaseState fail(ClockReading now) {
    return with(seen, false, now.boot() + length.toMillis() / RETRIES_PER_LENGTH, held);
  }

  /** Stops using the lease. The row may be taken again after two lengths. */
  public LeaseState resign(ClockReading now) {
    return with(seen, false, now.boot() + 2 * length.toMillis(), Optional.empty());
  }

  private long nextRead(ClockReading now) {
    return now.boot() + length.toMillis() / RENEWALS_PER_LENGTH;
  }

  /**
   * Returns the write that gives the lease back after {@link #resign}, empty if the row as read
   * last shows another holder.
   */
  public Optional<DutyOperation.WriteLease> release(long reportedThrough) {
    return seen.flatMap(
        row ->
            row.content()
                .filter(content -> content.isOf(holder, process) && !content.isReleased())
                .map(
                    content ->
                        new DutyOperation.WriteLease(
                            content.released(reportedThrough), row.revision())));
  }
}
