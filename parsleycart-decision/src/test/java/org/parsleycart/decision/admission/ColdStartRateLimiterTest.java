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

/** An upstream that is cold gets no more calls in any second than it bears. */
class ColdStartRateLimiterTest {
  private static final int COLD_CALLS_PER_SECOND = 10;
  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final List<Instant> starts = new ArrayList<>();

  private AdmissionControl<Integer> admission() {
    AdmissionControl<Integer> admission =
        new AdmissionControl<>(new AdmissionSettings(2, 8, true), 100, clock);
    admission.setColdCallsPerSecond(OptionalDouble.of(COLD_CALLS_PER_SECOND));
    return admission;
  }

  /** Offers a call every few milliseconds; each is answered at once. */
  private int load(AdmissionControl<Integer> admission, Duration duration) {
    Instant end = clock.instant().plus(duration);
    int refused = 0;
    while (clock.instant().isBefore(end)) {
      AdmissionDecision<Integer> result =
          admission.offer(
              new AdmissionRequest<>(
                  starts.size(),
                  RequestKind.INTERACTIVE_READ,
                  "read",
                  clock.instant().plusSeconds(1)));
      result.admitted().forEach(call -> starts.add(clock.instant()));
      result.admitted().forEach(call -> admission.recordAnswer("read", Duration.ofMillis(1)));
      refused += result.refusals().size();
      clock.add(Duration.ofMillis(7));
    }
    return refused;
  }

  private long mostInOneSecond(Instant from) {
    return starts.stream()
        .filter(start -> !start.isBefore(from))
        .mapToLong(
            start ->
                starts.stream()
                    .filter(each -> !each.isBefore(start))
                    .filter(each -> each.isBefore(start.plusSeconds(1)))
                    .count())
        .max()
        .orElse(0);
  }

  @Test
  void shouldStartNoMoreThanAColdUpstreamBearsInAnySecond() {
    AdmissionControl<Integer> admission = admission();
    admission.setRemainingColdTime(Duration.ofSeconds(3));

    int refused = load(admission, Duration.ofMillis(2900));

    assertThat(mostInOneSecond(Instant.EPOCH)).isEqualTo(COLD_CALLS_PER_SECOND);
    assertThat(refused).isPositive();
  }

  @Test
  void shouldRefuseAsColdSoThatTheCallGoesElsewhere() {
    AdmissionControl<Integer> admission = admission();
    admission.setRemainingColdTime(Duration.ofSeconds(3));
    load(admission, Duration.ofMillis(500));

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
  void shouldCountTheStartsFromBeforeItWasKnownToBeCold() {
    AdmissionControl<Integer> admission = admission();
    load(admission, Duration.ofMillis(300));
    int before = starts.size();
    admission.setRemainingColdTime(Duration.ofSeconds(3));

    load(admission, Duration.ofMillis(500));

    assertThat(before).isGreaterThan(COLD_CALLS_PER_SECOND);
    assertThat(starts).hasSize(before);
  }

  @Test
  void shouldCountAsColdWhenNoConnectionCameAbout() {
    AdmissionControl<Integer> admission = admission();
    admission
        .offer(
            new AdmissionRequest<>(
                0, RequestKind.INTERACTIVE_READ, "read", clock.instant().plusSeconds(1)))
        .admitted()
        .forEach(call -> admission.recordConnectionFailure());

    load(admission, Duration.ofSeconds(2));

    assertThat(mostInOneSecond(Instant.EPOCH)).isLessThanOrEqualTo(COLD_CALLS_PER_SECOND);
  }
}
