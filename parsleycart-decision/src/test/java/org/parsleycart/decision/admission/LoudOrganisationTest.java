package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

/**
 * Guards against an organisation that takes the capacity of the others by sending more.
 *
 * <p>Load: an upstream with 18 slots and calls of 45 ms, 400 calls a second. 71 small organisations
 * send 2 calls a second each, 6 large ones send 40, and a loud one sends 400, ten times as much as
 * a large one: 782 calls a second, nearly twice the capacity. Deadlines are 300 ms, but 200 ms for
 * every third small organisation and 800 ms for another third.
 */
class LoudOrganisationTest {
  private static final int SLOTS = 18;
  private static final int QUEUE_LENGTH = 64;
  private static final int PRIORITY = 2;
  private static final Duration PROCESSING_TIME = Duration.ofMillis(45);
  private static final Duration TEST_TIME = Duration.ofSeconds(30);
  private static final double SMALLEST_SHARE_OF_MEAN = 0.25;
  private static final int SMALL = 71;
  private static final int LARGE = 6;
  private static final List<Organisation> ORGANISATIONS =
      IntStream.range(0, SMALL + LARGE + 1).mapToObj(LoudOrganisationTest::organisation).toList();

  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final AdmissionControl<Integer> admission =
      new AdmissionControl<>(new AdmissionSettings(2, QUEUE_LENGTH, true), SLOTS, clock);
  private final PriorityQueue<Instant> runningUntil = new PriorityQueue<>();
  private final int[] sent = new int[ORGANISATIONS.size()];
  private final int[] started = new int[ORGANISATIONS.size()];

  private record Organisation(String name, int callsPerSecond, long deadlineMilliseconds) {}

  private static Organisation organisation(int index) {
    if (index < SMALL) {
      return new Organisation("small-" + index, 2, List.of(200L, 300L, 800L).get(index % 3));
    }
    return index < SMALL + LARGE
        ? new Organisation("large-" + index, 40, 300)
        : new Organisation("loud", 400, 300);
  }

  private void apply(AdmissionDecision<Integer> decision) {
    decision
        .admitted()
        .forEach(
            request -> {
              started[request.call()]++;
              runningUntil.add(clock.instant().plus(PROCESSING_TIME));
            });
  }

  private void answerUntil(Instant until) {
    while (!runningUntil.isEmpty() && !runningUntil.peek().isAfter(until)) {
      clock.setInstant(runningUntil.poll());
      apply(admission.recordAnswer("lookup", PROCESSING_TIME));
    }
    clock.setInstant(until);
  }

  private void offer(int index) {
    Organisation sender = ORGANISATIONS.get(index);
    Instant deadline = clock.instant().plusMillis(sender.deadlineMilliseconds());
    sent[index]++;
    apply(
        admission.offer(
            new AdmissionRequest<>(
                index, PRIORITY, "lookup", deadline, deadline, Optional.of(sender.name()))));
    apply(admission.refuseExpired());
  }

  @BeforeEach
  void sendForAWhile() {
    Random random = new Random(20_261_206);
    int[] senders =
        IntStream.range(0, ORGANISATIONS.size())
            .flatMap(
                index ->
                    IntStream.generate(() -> index)
                        .limit(ORGANISATIONS.get(index).callsPerSecond()))
            .toArray();
    Instant now = clock.instant();
    Instant end = now.plus(TEST_TIME);
    while (now.isBefore(end)) {
      answerUntil(now);
      offer(senders[random.nextInt(senders.length)]);
      double seconds = -Math.log(1 - random.nextDouble()) / senders.length;
      now = now.plusNanos((long) (seconds * 1_000_000_000));
    }
  }

  @Test
  void shouldServeEachOrganisationAQuarterAsOftenAsTheMeanWhenOneIsLoud() {
    double mean = IntStream.of(started).average().orElseThrow();

    assertThat(IntStream.of(started).min().orElseThrow())
        .isGreaterThanOrEqualTo((int) Math.ceil(SMALLEST_SHARE_OF_MEAN * mean));
  }

  /** The loud organisation itself has to be refused more than the others. */
  @Test
  void shouldServeMostCallsOfTheOtherOrganisationsWhenOneIsLoud() {
    assertThat(IntStream.range(0, SMALL + LARGE).mapToDouble(this::servedShare).min().orElseThrow())
        .isGreaterThan(0.75);
  }

  @Test
  void shouldKeepAllSlotsBusyWhenOneOrganisationIsLoud() {
    double capacity = (double) SLOTS * TEST_TIME.toMillis() / PROCESSING_TIME.toMillis();

    assertThat(IntStream.of(started).sum()).isGreaterThan((int) (0.97 * capacity));
  }

  private double servedShare(int index) {
    return (double) started[index] / sent[index];
  }
}
