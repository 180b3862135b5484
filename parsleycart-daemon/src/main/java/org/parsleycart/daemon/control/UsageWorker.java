package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.parsleycart.daemon.control.UsageRows.DepartedUsage;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.decision.usage.ClockReading;
import org.parsleycart.decision.usage.DutyHolder;
import org.parsleycart.decision.usage.DutyOperation;
import org.parsleycart.decision.usage.DutyOperation.AbandonWindows;
import org.parsleycart.decision.usage.DutyOperation.InsertReport;
import org.parsleycart.decision.usage.DutyOperation.PostReport;
import org.parsleycart.decision.usage.DutyOperation.ReadReport;
import org.parsleycart.decision.usage.DutyOperation.WriteLease;
import org.parsleycart.decision.usage.PostResult;
import org.parsleycart.decision.usage.UsageSchedule;
import org.parsleycart.link.FrameClient;
import org.parsleycart.platform.UsageReporter;
import org.parsleycart.store.PlatformError;
import org.tinylog.Logger;

/**
 * Takes part in the usage duty: contends for the lease if this daemon is a candidate, and gathers,
 * stores and posts the reports while it holds the lease. {@link DutyHolder} decides on each call.
 */
public final class UsageWorker {
  private static final String CANDIDATE_KEY = "usage";

  /** Two candidates remain when the VM of the holder fails; more would only read the lease row. */
  private static final int CANDIDATES = 3;

  private static final Duration STEP_INTERVAL = Duration.ofMillis(100);
  private static final Duration IDLE_INTERVAL = Duration.ofMillis(500);
  private static final int MAXIMUM_CALLS_PER_STEP = 8;
  private static final Duration POST_TIMEOUT = Duration.ofMillis(800);

  /** With less left of the lease, a report waits for the next renewal. */
  private static final Duration MINIMUM_POST_TIME = Duration.ofMillis(100);

  /** Reports are kept for some windows after they were accepted, for operators. */
  private static final int KEPT_REPORTS = 4;

  private static final long DEPARTED_READ_MILLISECONDS = 1000;

  /** A new holder waits this long for answers that show whether its wall clock is right. */
  private static final long CLOCK_CHECK_MILLISECONDS = 1500;

  private final LocalUsage localUsage;
  private final Supplier<Optional<MembershipView>> members;
  private final UsageRows rows;
  private final UsageReporter reporter;
  private final UsageGathering gathering;
  private final UsageSchedule schedule;
  private final Supplier<ClockReading> clocks;
  private final WallClockSteps wallClockSteps;
  private final UsageStatistics statistics;
  private final Random random;
  private final WorkerLoop loop;
  private DutyHolder duty;
  private long actingToken;
  private long clocksUncheckedSince;
  private long cleanedThrough = Long.MIN_VALUE;
  private long departedReadAt = Long.MIN_VALUE / 2;
  private List<DepartedUsage> departed = List.of();
  private volatile boolean isStopping;

  // -- construction

  /**
   * Creates a worker with a gathering of its own; {@link #start} starts its thread.
   *
   * @param members supplies the members, empty until this daemon knows them; before that, each
   *     daemon would contend for the lease
   */
  public static UsageWorker create(
      LocalUsage localUsage,
      Supplier<Optional<MembershipView>> members,
      UsageRows rows,
      FrameClient frameClient,
      UsageReporter reporter,
      DutyHolder duty,
      Supplier<ClockReading> clocks,
      UsageStatistics statistics,
      WorkerHealth health) {
    UsageSchedule schedule = duty.plan().schedule();
    UsageGathering gathering =
        new UsageGathering(
            schedule.windows(), schedule.maximumAge(), localUsage, frameClient, clocks);
    return new UsageWorker(
        localUsage,
        members,
        rows,
        reporter,
        gathering,
        duty,
        clocks,
        statistics,
        new Random(),
        health);
  }

  private UsageWorker(
      LocalUsage localUsage,
      Supplier<Optional<MembershipView>> members,
      UsageRows rows,
      UsageReporter reporter,
      UsageGathering gathering,
      DutyHolder duty,
      Supplier<ClockReading> clocks,
      UsageStatistics statistics,
      Random random,
      WorkerHealth health) {
    this.localUsage = requireNonNull(localUsage, "localUsage is null");
    this.members = requireNonNull(members, "members is null");
    this.rows = requireNonNull(rows, "rows is null");
    this.reporter = requireNonNull(reporter, "reporter is null");
    this.gathering = requireNonNull(gathering, "gathering is null");
    this.duty = requireNonNull(duty, "duty is null");
    this.schedule = duty.plan().schedule();
    this.clocks = requireNonNull(clocks, "clocks is null");
    this.statistics = requireNonNull(statistics, "statistics is null");
    this.random = requireNonNull(random, "random is null");
    this.wallClockSteps = new WallClockSteps(clocks);
    this.loop = new WorkerLoop("usage", this::step, health);
  }

  public void start() {
    loop.start();
  }

  /** Stops the worker after its current step. */
  public void stop() {
    loop.stop();
  }

  /** Gives the lease back with the next step, and takes it no more. */
  public void beginStop() {
    isStopping = true;
  }

  /**
   * Stores the counts of this daemon that may not have been gathered. Called when no more calls
   * run.
   */
  public void storeCounts() {
    new UsageHandover(rows, localUsage).store();
  }

  // -- operation

  private void step() {
    LockSupport.parkNanos(STEP_INTERVAL.toNanos());
    if (!act()) {
      LockSupport.parkNanos(IDLE_INTERVAL.toNanos());
    }
  }

  /** Makes the calls that are due; returns whether this daemon is the holder or a candidate. */
  boolean act() {
    ClockReading now = clocks.get();
    Optional<MembershipView> known = members.get();
    if (known.isEmpty()) {
      return false;
    }
    MembershipView view = known.get();
    noteWallClock(now);
    gathering.observe(view.otherIdentifiers(), Instant.ofEpochMilli(now.wall()));
    if (isStopping) {
      resign("this daemon stops");
      return false;
    }
    if (!duty.lease().isHeld(now) && !view.isSelfAmongOwners(CANDIDATE_KEY, CANDIDATES)) {
      noteHolding(now);
      return false;
    }
    boolean hasCalled = true;
    for (int calls = 0; hasCalled && calls < MAXIMUM_CALLS_PER_STEP; calls++) {
      hasCalled = performForLease();
    }
    noteHolding(clocks.get());
    if (duty.lease().isHeld(clocks.get())) {
      report();
    }
    return true;
  }

  private void noteWallClock(ClockReading now) {
    wallClockSteps
        .detect(now)
        .ifPresent(
            milliseconds -> {
              Logger.warn("wall clock stepped by {} ms: usage follows the new time", milliseconds);
              clocksUncheckedSince = now.boot();
              gathering.restartClockCheck();
            });
  }

  private void noteHolding(ClockReading now) {
    long token = duty.lease().isHeld(now) ? duty.lease().token() : 0;
    if (token == actingToken) {
      return;
    }
    if (token == 0) {
      Logger.info("usage duty: the lease with token {} may have expired", actingToken);
    } else {
      Logger.info("usage duty: holder with token {}, next window {}", token, duty.plan().window());
      gathering.restart();
      clocksUncheckedSince = now.boot();
      departedReadAt = now.boot() - DEPARTED_READ_MILLISECONDS;
    }
    actingToken = token;
    statistics.setToken(token);
  }

  private void resign(String reason) {
    if (duty.lease().held().isEmpty()) {
      return;
    }
    Logger.info("usage duty: token {} is given back: {}", duty.lease().token(), reason);
    duty = duty.resigned(clocks.get());
    rows.readLease()
        .peek(
            row -> {
              ClockReading now = clocks.get();
              duty = duty.observedLease(row.content(), row.revision(), now).resigned(now);
              duty.lease().release(duty.plan().reportedThrough()).ifPresent(rows::writeLease);
            });
    noteHolding(clocks.get());
  }

  // -- lease

  private boolean performForLease() {
    ClockReading sentAt = clocks.get();
    Optional<DutyOperation> operation = duty.nextForLease(sentAt);
    if (operation.isEmpty()) {
      return false;
    }
    if (operation.get() instanceof WriteLease write) {
      Either<PlatformError, Boolean> written = rows.writeLease(write);
      ClockReading now = clocks.get();
      duty =
          written.fold(
              error -> duty.leaseFailed(now),
              isWritten -> duty.wroteLease(write, isWritten, sentAt, now));
      return false;
    }
    Either<PlatformError, UsageRows.LeaseRow> read = rows.readLease();
    ClockReading now = clocks.get();
    duty =
        read.fold(
            error -> duty.leaseFailed(now),
            row ->
                (row.isPlatformRestored() ? duty.platformRestored(now) : duty)
                    .observedLease(row.content(), row.revision(), now));
    return read.isRight();
  }

  // -- reports

  private void report() {
    ClockReading now = clocks.get();
    Instant time = Instant.ofEpochMilli(now.wall());
    List<Long> gatherable = duty.plan().gatherable(time);
    gathering.checkClocks(now);
    gathering.gather(gatherable, now);
    if (gathering.isClockDeviating()) {
      resign(
          "the wall clock differs from most others by "
              + gathering.medianClockOffset()
              + " milliseconds");
      return;
    }
    if (duty.shouldResign(now)) {
      resign("the platform takes no reports");
      return;
    }
    if (!gatherable.isEmpty()) {
      readDeparted(gatherable, now);
    }
    if (!gathering.isClockChecked()
        && now.boot() - clocksUncheckedSince < CLOCK_CHECK_MILLISECONDS) {
      return;
    }
    boolean hasCalled = true;
    for (int calls = 0; hasCalled && calls < MAXIMUM_CALLS_PER_STEP; calls++) {
      hasCalled = performForReports();
    }
    deleteOldRows();
  }

  private void readDeparted(List<Long> gatherable, ClockReading now) {
    if (now.boot() - departedReadAt < DEPARTED_READ_MILLISECONDS) {
      return;
    }
    departedReadAt = now.boot();
    rows.readDeparted()
        .peek(
            read -> {
              departed = read;
              read.forEach(each -> gathering.mergeDeparted(each.usage(), gatherable));
            });
  }

  private boolean performForReports() {
    ClockReading now = clocks.get();
    Instant time = Instant.ofEpochMilli(now.wall());
    boolean isGathered = gathering.missing(duty.plan().window()).isEmpty();
    Optional<DutyOperation> operation = duty.nextForReports(now, time, isGathered);
    if (operation.isEmpty()) {
      return false;
    }
    if (operation.get() instanceof PostReport post) {
      return post(post, now);
    }
    if (operation.get() instanceof AbandonWindows abandon) {
      Logger.warn(
          "usage windows {} to {} are not reported: too old", abandon.first(), abandon.last());
      statistics.recordAbandoned(abandon.last() - abandon.first() + 1);
      duty = duty.abandonedThrough(abandon.last());
      return true;
    }
    return operation.get() instanceof ReadReport read
        ? read(read)
        : insert((InsertReport) operation.get());
  }

  private boolean read(ReadReport read) {
    Either<PlatformError, Optional<String>> stored = rows.readReport(read.window());
    duty = stored.fold(this::storeFailed, duty::readReport);
    return stored.isRight();
  }

  private boolean insert(InsertReport insert) {
    List<String> missing = gathering.missing(insert.window());
    if (!missing.isEmpty()) {
      Logger.warn("usage window {} is reported without the counts of {}", insert.window(), missing);
      statistics.recordMissing(missing.size());
    }
    String content = reporter.format(gathering.sums(insert.window()));
    Either<PlatformError, Boolean> inserted = rows.insertReport(insert.window(), content);
    duty = inserted.fold(this::storeFailed, isInserted -> duty.insertedReport(content, isInserted));
    return inserted.isRight();
  }

  private DutyHolder storeFailed(PlatformError error) {
    Logger.info("usage window {} not stored yet: {}", duty.plan().window(), error.message());
    return duty.reportFailed(clocks.get(), random.nextDouble());
  }

  private boolean post(PostReport post, ClockReading now) {
    Duration remaining = duty.lease().remaining(now);
    if (remaining.compareTo(MINIMUM_POST_TIME) < 0) {
      return false;
    }
    Duration timeout = remaining.compareTo(POST_TIMEOUT) < 0 ? remaining : POST_TIMEOUT;
    PostResult result = reporter.post(post.content(), post.token(), timeout);
    ClockReading answeredAt = clocks.get();
    duty = duty.postedReport(result, answeredAt, random.nextDouble());
    if (result != PostResult.ACCEPTED) {
      statistics.recordFailure();
      Logger.info(
          "usage window {} not accepted yet: {}, {} failures in a row",
          post.window(),
          result,
          duty.plan().failures());
      return false;
    }
    Duration age =
        Duration.between(
            schedule.windows().endOf(post.window()), Instant.ofEpochMilli(answeredAt.wall()));
    statistics.recordReport(age);
    Logger.debug("usage window {} reported {} after its end", post.window(), age);
    if (age.compareTo(schedule.due()) > 0) {
      Logger.warn("usage window {} was reported late, {} after its end", post.window(), age);
    }
    gathering.forgetThrough(post.window());
    return true;
  }

  // -- old rows

  /** Deletes rows only of windows that the lease row names as done. */
  private void deleteOldRows() {
    Optional<Long> mark = duty.storedMark(clocks.get());
    if (mark.isEmpty() || mark.get() <= cleanedThrough) {
      return;
    }
    cleanedThrough = mark.get();
    rows.deleteReportsThrough(cleanedThrough - KEPT_REPORTS);
    departed.stream()
        .filter(
            each ->
                each.usage().windows().stream()
                    .allMatch(counts -> counts.window() <= cleanedThrough))
        .forEach(rows::delete);
  }
}
