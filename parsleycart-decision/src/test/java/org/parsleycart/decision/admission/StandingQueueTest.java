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
 * More work comes to an upstream than it can do, for a while or for a moment. A queue that stands
 * makes every answer late, so that what waits must be worth its slot.
 */
class StandingQueueTest {
  private static final int SLOTS = 18;
  private static final int QUEUE_LENGTH = 64;
  private static final Duration WORK = Duration.ofMillis(90);
  private static final Duration OBJECTIVE = Duration.ofMillis(300);
  private static final Duration DEADLINE = Duration.ofMillis(800);
  private static final int RANK = 2;

  /** Calls a second that the slots can do. */
  private static final double CAPACITY = SLOTS / (WORK.toMillis() / 1000.0);

  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final AdmissionControl<Instant> admission =
      new AdmissionControl<>(new AdmissionSettings(2, QUEUE_LENGTH, true), SLOTS, clock);
  private final PriorityQueue<Running> running =
      new PriorityQueue<>(Comparator.comparing(Running::endsAt));
  private int inTime;
  private int late;
  private int refused;

  private record Running(Instant sentAt, Instant endsAt) {}

  private void take(AdmissionDecision<Instant> decision) {
    refused += decision.refusals().size();
    Instant endsAt = clock.instant().plus(WORK);
    decision.admitted().forEach(each -> running.add(new Running(each.call(), endsAt)));
  }

  private void answerUntil(Instant until) {
    while (!running.isEmpty() && !running.peek().endsAt().isAfter(until)) {
      Running ended = running.poll();
      clock.setInstant(ended.endsAt());
      Duration taken = Duration.between(ended.sentAt(), ended.endsAt());
      inTime += taken.compareTo(OBJECTIVE) <= 0 ? 1 : 0;
      late += taken.compareTo(OBJECTIVE) > 0 ? 1 : 0;
      take(admission.recordAnswer("lookup", WORK));
    }
    clock.setInstant(until);
  }

  /**
   * Offers calls at a share of what the slots can do.
   *
   * @param load the share
   * @param lasting how long
   * @param usefulFor how long after its start an answer is of full use
   */
  private void play(double load, Duration lasting, Duration usefulFor) {
    Duration between = Duration.ofNanos((long) (1_000_000_000 / (CAPACITY * load)));
    Instant end = clock.instant().plus(lasting);
    Instant next = clock.instant();
    while (next.isBefore(end)) {
      answerUntil(next);
      take(
          admission.offer(
              new AdmissionRequest<>(
                  next, RANK, "lookup", next.plus(usefulFor), next.plus(DEADLINE))));
      take(admission.refuseExpired());
      next = next.plus(between);
    }
    answerUntil(end.plus(DEADLINE));
  }

  @Test
  void shouldAnswerMostInTimeUnderLastingOverload() {
    play(1.3, Duration.ofSeconds(6), OBJECTIVE);

    double possible = CAPACITY * 6;
    assertThat(inTime / possible).isGreaterThan(0.85);
    assertThat((double) late / (inTime + late)).isLessThan(0.1);
  }

  @Test
  void shouldDoAsMuchWorkAsAQueueUpToTheDeadline() {
    StandingQueueTest upToDeadline = new StandingQueueTest();
    upToDeadline.play(1.3, Duration.ofSeconds(6), DEADLINE);

    play(1.3, Duration.ofSeconds(6), OBJECTIVE);

    assertThat(inTime).isGreaterThan(upToDeadline.inTime * 2);
    assertThat(inTime + late).isGreaterThan((upToDeadline.inTime + upToDeadline.late) * 95 / 100);
  }

  @Test
  void shouldRefuseNothingInABurstThatTheUpstreamCatchesUpWith() {
    play(0.7, Duration.ofSeconds(1), OBJECTIVE);
    play(1.8, Duration.ofMillis(200), OBJECTIVE);
    play(0.7, Duration.ofSeconds(1), OBJECTIVE);

    assertThat(refused).isZero();
  }

  @Test
  void shouldServeALateCallWhenNobodyElseWaits() {
    take(
        admission.offer(
            new AdmissionRequest<>(
                clock.instant(),
                RANK,
                "lookup",
                clock.instant().minusMillis(50),
                clock.instant().plus(DEADLINE))));

    assertThat(running).hasSize(1);
  }
}
