package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

/**
 * Guards against an upstream that is never used again after a slow period. The upstream first
 * becomes so slow that no call is expected to meet its deadline, and then becomes fast again.
 */
class SlowUpstreamRecoversTest {
  private static final Duration DEADLINE = Duration.ofMillis(800);
  private static final Duration SLOW_LATENCY = Duration.ofMillis(900);
  private static final Duration USUAL_LATENCY = Duration.ofMillis(90);
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

  private final MutableClock clock =
      MutableClock.of(Instant.parse("2026-01-01T00:00:00Z"), ZoneOffset.UTC);
  private final AdmissionControl<String> admission =
      new AdmissionControl<>(new AdmissionSettings(2, 64, true), 18, clock);

  private AdmissionDecision<String> offer() {
    Instant deadline = clock.instant().plus(DEADLINE);
    return admission.offer(new AdmissionRequest<>("call", 1, "lookup", deadline, deadline));
  }

  @BeforeEach
  void recordSlowAnswer() {
    assertThat(offer().admitted()).hasSize(1);
    clock.add(Duration.ofMillis(100));
    admission.recordAnswer("lookup", SLOW_LATENCY);
  }

  private static List<RefusalReason> reasons(AdmissionDecision<String> decision) {
    return decision.refusals().stream().map(AdmissionDecision.Refusal::reason).toList();
  }

  @Test
  void shouldRefuseACallWhenTheUpstreamIsTooSlowForItsDeadline() {
    assertThat(reasons(offer())).containsExactly(RefusalReason.DEADLINE);
  }

  @Test
  void shouldAdmitOneCallWhenTheProbeIntervalHasPassed() {
    clock.add(PROBE_INTERVAL);

    assertThat(offer().admitted()).hasSize(1);
    assertThat(reasons(offer())).containsExactly(RefusalReason.DEADLINE);
  }

  @Test
  void shouldAdmitAllCallsWhenProbesHaveBeenAnsweredFast() {
    for (int probe = 0; probe < 10; probe++) {
      clock.add(PROBE_INTERVAL);
      if (!offer().admitted().isEmpty()) {
        clock.add(USUAL_LATENCY);
        admission.recordAnswer("lookup", USUAL_LATENCY);
      }
    }

    assertThat(offer().admitted()).hasSize(1);
    assertThat(offer().admitted()).hasSize(1);
  }
}
