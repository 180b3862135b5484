package org.parsleycart.decision.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.decision.usage.DutyOperation.PostReport;
import org.parsleycart.decision.usage.DutyOperation.WriteLease;

class LeaseStateTest {
  private static final Duration LENGTH = Duration.ofSeconds(3);
  private static final LeaseRecord OF_OTHER = new LeaseRecord("b", "b1", 7, false, 40);

  private static ClockReading at(long milliseconds) {
    return new ClockReading(milliseconds, milliseconds, milliseconds);
  }

  private static LeaseState initial(long startedAt) {
    return LeaseState.initial("a", "a1", LENGTH, at(startedAt));
  }

  private static LeaseState held() {
    LeaseState read = initial(0).observe(Optional.empty(), 0, at(0));
    return read.confirm(((WriteLease) read.next(at(0), 5).orElseThrow()).content(), at(0));
  }

  /** Guards against a holder that does not notice a pause which only one of its clocks shows. */
  @ParameterizedTest
  @CsvSource({
    "2300, 2300, 2300, true",
    "2400, 100, 100, false",
    "100, 2400, 100, false",
    "100, 100, 2400, false",
    "100, -1, 100, false"
  })
  void shouldHoldOnlyWhileEveryClockSaysSo(long boot, long wall, long monotonic, boolean isHeld) {
    ClockReading now = new ClockReading(boot, wall, monotonic);

    assertThat(held().isHeld(now)).isEqualTo(isHeld);
    assertThat(held().remaining(now).isZero()).isEqualTo(!isHeld);
  }

  /** Guards against a takeover from a holder that may still act. */
  @Test
  void shouldTakeOverOnlyWhenTheRowHasNotChangedForTheWholeLength() {
    LeaseState first = initial(-100_000).observe(Optional.of(OF_OTHER), 3, at(0));
    LeaseState renewed = first.observe(Optional.of(OF_OTHER), 4, at(2000));

    assertThat(first.observe(Optional.of(OF_OTHER), 3, at(2999)).next(at(2999), 0)).isEmpty();
    assertThat(renewed.observe(Optional.of(OF_OTHER), 4, at(4999)).next(at(4999), 0)).isEmpty();
    assertThat(renewed.observe(Optional.of(OF_OTHER), 4, at(5000)).next(at(5000), 0))
        .contains(new WriteLease(new LeaseRecord("a", "a1", 8, false, 40), 4));
  }

  /** Guards against turns in the order A, B, A within one length. */
  @Test
  void shouldWaitOneLengthMoreAfterAnotherHolderIfItHeldTheLeaseBefore() {
    LeaseRecord released = OF_OTHER.released(40);
    LeaseState former = held().observe(Optional.of(released), 3, at(1000));

    assertThat(former.next(at(1000), 0)).isEmpty();
    assertThat(former.observe(Optional.of(released), 3, at(3999)).next(at(3999), 0)).isEmpty();
    assertThat(former.observe(Optional.of(released), 3, at(4000)).next(at(4000), 0)).isPresent();
    LeaseState running = held().observe(Optional.of(OF_OTHER), 3, at(1000));
    assertThat(running.observe(Optional.of(OF_OTHER), 3, at(6999)).next(at(6999), 0)).isEmpty();
    assertThat(running.observe(Optional.of(OF_OTHER), 3, at(7000)).next(at(7000), 0)).isPresent();
  }

  /** Guards against a new process that takes the lease back because it knows of no turn before. */
  @Test
  void shouldCountAsFormerHolderAfterARestart() {
    LeaseRecord released = OF_OTHER.released(40);

    assertThat(initial(0).observe(Optional.of(released), 3, at(0)).next(at(0), 0)).isEmpty();
    assertThat(initial(-100_000).observe(Optional.of(released), 3, at(0)).next(at(0), 0))
        .isPresent();
  }

  private static LeaseState takenOverFromOther() {
    LeaseState read = initial(-100_000).observe(Optional.of(OF_OTHER), 3, at(0));
    LeaseState free = read.observe(Optional.of(OF_OTHER), 3, at(3000));
    return free.confirm(((WriteLease) free.next(at(3000), 0).orElseThrow()).content(), at(3000));
  }

  /** Guards against a holder that gives way to an earlier one, whose row a restore brought back. */
  @Test
  void shouldWriteLeaseAgainWhenRestoredPlatformShowsAnEarlierHolder() {
    LeaseState restored =
        takenOverFromOther().restored(at(3500)).observe(Optional.of(OF_OTHER), 2, at(3500));

    assertThat(restored.isHeld(at(3500))).isTrue();
    assertThat(restored.next(at(3500), 41))
        .contains(new WriteLease(new LeaseRecord("a", "a1", 8, false, 41), 2));
  }

  /** Guards against two holders, because a restore brought back the row before the second one. */
  @Test
  void shouldWaitForALostRenewalToExpireWhenPlatformWasRestored() {
    LeaseState watching =
        initial(-100_000).observe(Optional.of(OF_OTHER), 9, at(0)).restored(at(1000));
    LeaseState released = watching.observe(Optional.of(OF_OTHER.released(40)), 3, at(1000));
    LeaseState absent = watching.observe(Optional.empty(), 0, at(1000));

    assertThat(released.next(at(1000), 0)).isEmpty();
    assertThat(absent.next(at(1000), 0)).isEmpty();
    assertThat(absent.observe(Optional.empty(), 0, at(4000)).next(at(4000), 0))
        .contains(new WriteLease(new LeaseRecord("a", "a1", 8, false, 40), 0));
  }

  /** Guards against a fencing token that is given out twice, and a window reported twice. */
  @Test
  void shouldContinueTokensAndMarkWhenRestoredPlatformLostThem() {
    LeaseRecord later = new LeaseRecord("c", "c1", 9, false, 60);
    LeaseState restored =
        initial(-100_000).observe(Optional.of(later), 9, at(0)).restored(at(1000));

    LeaseState waited =
        restored
            .observe(Optional.of(OF_OTHER), 3, at(1000))
            .observe(Optional.of(OF_OTHER), 3, at(4000));

    assertThat(waited.next(at(4000), 0))
        .contains(new WriteLease(new LeaseRecord("a", "a1", 10, false, 60), 3));
  }

  /** Guards against calls that follow each other without a pause while the platform fails. */
  @Test
  void shouldPauseLongerAfterEachFailureAndResignAfterSome() {
    UsageSchedule schedule =
        UsageSchedule.of(new UsageWindows(Duration.ofSeconds(5)), Duration.ofSeconds(10), 50);
    UsageReportPlan plan = UsageReportPlan.after(schedule, -1).lookedUp(Optional.of("{}"));
    Instant time = Instant.ofEpochSecond(7);
    long previous = 0;
    for (int failure = 1; failure <= 4; failure++) {
      plan = plan.posted(PostResult.FAILED, at(0), 1);
      assertThat(plan.retryAt()).isGreaterThan(previous);
      assertThat(plan.next(at(plan.retryAt() - 1), time, true, 3)).isEmpty();
      assertThat(plan.next(at(plan.retryAt()), time, true, 3)).contains(new PostReport(0, 3, "{}"));
      assertThat(plan.shouldResign()).isFalse();
      previous = plan.retryAt();
    }
    assertThat(plan.posted(PostResult.BUSY, at(0), 1).shouldResign()).isFalse();
    assertThat(plan.posted(PostResult.FAILED, at(0), 1).shouldResign()).isTrue();
  }

  @Test
  void shouldReportTheOldestWindowFirstAndGiveUpThoseTooOld() {
    UsageSchedule schedule =
        UsageSchedule.of(new UsageWindows(Duration.ofSeconds(5)), Duration.ofSeconds(10), 50);
    UsageReportPlan plan = UsageReportPlan.after(schedule, -1);

    assertThat(plan.next(at(0), Instant.ofEpochMilli(5999), true, 1)).isEmpty();
    assertThat(plan.next(at(0), Instant.ofEpochSecond(16), true, 1))
        .contains(new DutyOperation.ReadReport(0));
    assertThat(plan.lookedUp(Optional.empty()).next(at(0), Instant.ofEpochMilli(9999), false, 1))
        .isEmpty();
    assertThat(plan.lookedUp(Optional.empty()).next(at(0), Instant.ofEpochSecond(10), false, 1))
        .contains(new DutyOperation.InsertReport(0));
    assertThat(plan.next(at(0), Instant.ofEpochSecond(136), true, 1))
        .contains(new DutyOperation.AbandonWindows(0, 2));
  }
}
