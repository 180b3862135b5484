package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.parsleycart.model.RequestKind;
import org.threeten.extra.MutableClock;

/** Tests the call rate limit of cold upstreams through {@link AdmissionControl}. */
class ColdStartRateLimiterTest {
  private static final int COLD_CALLS_PER_SECOND = 10;
  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final List<Instant> startTimes = new ArrayList<>();

  private AdmissionControl<Integer> admission() {
    AdmissionControl<Integer> admission =
        new AdmissionControl<>(new AdmissionSettings(2, 8, true), 100, clock);
    admission.setColdCallsPerSecond(OptionalDouble.of(COLD_CALLS_PER_SECOND));
    return admission;
  }

  /**
   * Offers a call every 7 ms, answers each admitted call immediately and returns the number of
   * refusals.
   */
  private int offerCalls(AdmissionControl<Integer> admission, Duration duration) {
    Instant end = clock.instant().plus(duration);
    int refused = 0;
    while (clock.instant().isBefore(end)) {
      AdmissionDecision<Integer> result =
          admission.offer(
              new AdmissionRequest<>(
                  startTimes.size(),
                  RequestKind.INTERACTIVE_READ,
                  "read",
                  clock.instant().plusSeconds(1)));
      result.admitted().forEach(call -> startTimes.add(clock.instant()));
      result.admitted().forEach(call -> admission.recordAnswer("read", Duration.ofMillis(1)));
      refused += result.refusals().size();
      clock.add(Duration.ofMillis(7));
    }
    return refused;
  }

  private long maximumStartsInOneSecond(Instant from) {
    return startTimes.stream()
        .filter(start -> !start.isBefore(from))
        .mapToLong(
            start ->
                startTimes.stream()
                    .filter(other -> !other.isBefore(start))
                    .filter(other -> other.isBefore(start.plusSeconds(1)))
                    .count())
        .max()
        .orElse(0);
  }

  @Test
  void shouldNotExceedTheColdRateInAnySecondWhenTheUpstreamIsCold() {
    AdmissionControl<Integer> admission = admission();
    admission.setRemainingColdTime(Duration.ofSeconds(3));

    int refused = offerCalls(admission, Duration.ofMillis(2900));

    assertThat(maximumStartsInOneSecond(Instant.EPOCH)).isEqualTo(COLD_CALLS_PER_SECOND);
    assertThat(refused).isPositive();
  }

  @Test
  void shouldRefuseWithAReasonThatRequiresAnotherUpstreamWhenTheColdRateIsReached() {
    AdmissionControl<Integer> admission = admission();
    admission.setRemainingColdTime(Duration.ofSeconds(3));
    offerCalls(admission, Duration.ofMillis(500));

    AdmissionDecision<Integer> refused =
        admission.offer(
            new AdmissionRequest<>(
                -1, RequestKind.INTERACTIVE_READ, "read", clock.instant().plusSeconds(1)));

    assertThat(refused.refusals())
        .extracting(AdmissionDecision.Refusal::reason)
        .containsExactly(RefusalReason.COLD);
    assertThat(RefusalReason.COLD.requiresOtherUpstream()).isTrue();
  }

  @Test
  void shouldCountEarlierStartsWhenTheUpstreamIsReportedCold() {
    AdmissionControl<Integer> admission = admission();
    offerCalls(admission, Duration.ofMillis(300));
    int startsBefore = startTimes.size();
    admission.setRemainingColdTime(Duration.ofSeconds(3));

    offerCalls(admission, Duration.ofMillis(500));

    assertThat(startsBefore).isGreaterThan(COLD_CALLS_PER_SECOND);
    assertThat(startTimes).hasSize(startsBefore);
  }

  @Test
  void shouldTreatTheUpstreamAsColdWhenAConnectionFails() {
    AdmissionControl<Integer> admission = admission();
    admission
        .offer(
            new AdmissionRequest<>(
                0, RequestKind.INTERACTIVE_READ, "read", clock.instant().plusSeconds(1)))
        .admitted()
        .forEach(call -> admission.recordConnectionFailure());

    offerCalls(admission, Duration.ofSeconds(2));

    assertThat(maximumStartsInOneSecond(Instant.EPOCH)).isLessThanOrEqualTo(COLD_CALLS_PER_SECOND);
  }
}
