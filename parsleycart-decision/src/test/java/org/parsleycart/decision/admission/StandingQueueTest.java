package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

/**
 * Simulates an upstream that receives more work than it can handle, continuously or in a burst. A
 * standing queue makes every answer late, so queued calls that would be late have to be refused.
 */
class StandingQueueTest {
  private static final int SLOTS = 18;
  private static final int QUEUE_LENGTH = 64;
  private static final Duration PROCESSING_TIME = Duration.ofMillis(90);
  private static final Duration OBJECTIVE = Duration.ofMillis(300);
  private static final Duration DEADLINE = Duration.ofMillis(800);
  private static final int PRIORITY = 2;

  /** Calls per second that the slots can handle. */
  private static final double CAPACITY_CALLS_PER_SECOND =
      SLOTS / (PROCESSING_TIME.toMillis() / 1000.0);

  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final AdmissionControl<Instant> admission =
      new AdmissionControl<>(new AdmissionSettings(2, QUEUE_LENGTH, true), SLOTS, clock);
  private final PriorityQueue<RunningCall> running =
      new PriorityQueue<>(Comparator.comparing(RunningCall::endsAt));
  private int answeredInTime;
  private int answeredLate;
  private int refusedCalls;

  private record RunningCall(Instant sentAt, Instant endsAt) {}

  private void apply(AdmissionDecision<Instant> decision) {
    refusedCalls += decision.refusals().size();
    Instant endsAt = clock.instant().plus(PROCESSING_TIME);
    decision.admitted().forEach(admitted -> running.add(new RunningCall(admitted.call(), endsAt)));
  }

  private void answerUntil(Instant until) {
    while (!running.isEmpty() && !running.peek().endsAt().isAfter(until)) {
      RunningCall ended = running.poll();
      clock.setInstant(ended.endsAt());
      Duration latency = Duration.between(ended.sentAt(), ended.endsAt());
      answeredInTime += latency.compareTo(OBJECTIVE) <= 0 ? 1 : 0;
      answeredLate += latency.compareTo(OBJECTIVE) > 0 ? 1 : 0;
      apply(admission.recordAnswer("lookup", PROCESSING_TIME));
    }
    clock.setInstant(until);
  }

  /**
   * Offers calls for a while.
   *
   * @param relativeLoad the rate of the calls as a share of the capacity
   * @param usefulTime how long after the start of a call its answer is in time
   */
  private void simulate(double relativeLoad, Duration duration, Duration usefulTime) {
    Duration interval =
        Duration.ofNanos((long) (1_000_000_000 / (CAPACITY_CALLS_PER_SECOND * relativeLoad)));
    Instant end = clock.instant().plus(duration);
    Instant nextStart = clock.instant();
    while (nextStart.isBefore(end)) {
      answerUntil(nextStart);
      apply(
          admission.offer(
              new AdmissionRequest<>(
                  nextStart,
                  PRIORITY,
                  "lookup",
                  nextStart.plus(usefulTime),
                  nextStart.plus(DEADLINE))));
      apply(admission.refuseExpired());
      nextStart = nextStart.plus(interval);
    }
    answerUntil(end.plus(DEADLINE));
  }

  @Test
  void shouldAnswerMostCallsInTimeWhenOverloadLasts() {
    simulate(1.3, Duration.ofSeconds(6), OBJECTIVE);

    double maximumCalls = CAPACITY_CALLS_PER_SECOND * 6;
    assertThat(answeredInTime / maximumCalls).isGreaterThan(0.85);
    assertThat((double) answeredLate / (answeredInTime + answeredLate)).isLessThan(0.1);
  }

  @Test
  void shouldAnswerAboutAsManyCallsAsAQueueUpToTheDeadlineWhenOverloadLasts() {
    StandingQueueTest upToDeadline = new StandingQueueTest();
    upToDeadline.simulate(1.3, Duration.ofSeconds(6), DEADLINE);

    simulate(1.3, Duration.ofSeconds(6), OBJECTIVE);

    assertThat(answeredInTime).isGreaterThan(upToDeadline.answeredInTime * 2);
    assertThat(answeredInTime + answeredLate)
        .isGreaterThan((upToDeadline.answeredInTime + upToDeadline.answeredLate) * 95 / 100);
  }

  @Test
  void shouldRefuseNothingWhenTheUpstreamCatchesUpWithABurst() {
    simulate(0.7, Duration.ofSeconds(1), OBJECTIVE);
    simulate(1.8, Duration.ofMillis(200), OBJECTIVE);
    simulate(0.7, Duration.ofSeconds(1), OBJECTIVE);

    assertThat(refusedCalls).isZero();
  }

  @Test
  void shouldAdmitALateCallWhenNoOtherCallIsQueued() {
    apply(
        admission.offer(
            new AdmissionRequest<>(
                clock.instant(),
                PRIORITY,
                "lookup",
                clock.instant().minusMillis(50),
                clock.instant().plus(DEADLINE))));

    assertThat(running).hasSize(1);
  }
}
