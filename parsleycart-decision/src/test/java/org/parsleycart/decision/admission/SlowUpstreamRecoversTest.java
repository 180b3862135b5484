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
 * An upstream is slow for a while, so slow that no call could be answered before its deadline, and
 * then as fast as before.
 */
class SlowUpstreamRecoversTest {
  private static final Duration DEADLINE = Duration.ofMillis(800);
  private static final Duration SLOW = Duration.ofMillis(900);
  private static final Duration USUAL = Duration.ofMillis(90);
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
  void learnThatTheUpstreamIsSlow() {
    assertThat(offer().admitted()).hasSize(1);
    clock.add(Duration.ofMillis(100));
    admission.recordAnswer("lookup", SLOW);
  }

  private static List<RefusalReason> reasons(AdmissionDecision<String> admission) {
    return admission.refusals().stream().map(AdmissionDecision.Refusal::reason).toList();
  }

  @Test
  void shouldRefuseWhatASlowUpstreamCannotAnswerInTime() {
    assertThat(reasons(offer())).containsExactly(RefusalReason.DEADLINE);
  }

  @Test
  void shouldLetOneCallThroughWhenNoneWasStartedForAWhile() {
    clock.add(PROBE_INTERVAL);

    assertThat(offer().admitted()).hasSize(1);
    assertThat(reasons(offer())).containsExactly(RefusalReason.DEADLINE);
  }

  @Test
  void shouldTakeAllCallsAgainOnceProbesAreAnsweredFast() {
    for (int probe = 0; probe < 10; probe++) {
      clock.add(PROBE_INTERVAL);
      if (!offer().admitted().isEmpty()) {
        clock.add(USUAL);
        admission.recordAnswer("lookup", USUAL);
      }
    }

    assertThat(offer().admitted()).hasSize(1);
    assertThat(offer().admitted()).hasSize(1);
  }
}
