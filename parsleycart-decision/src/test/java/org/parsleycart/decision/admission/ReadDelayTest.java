package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadDelayTest {
  private static final Duration OBJECTIVE = Duration.ofMillis(300);

  private final ReadDelay delay = new ReadDelay();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  /** Reads one request and spends some time on the rest of the pass. */
  private void pass(long milliseconds) {
    delay.recordRequest(now);
    now = now.plusMillis(milliseconds);
    delay.recordPassEnd(now);
  }

  @Nested
  class Waited {
    @Test
    void shouldBeNothingWhenTheThreadKeepsUp() {
      delay.recordRequest(now);

      assertThat(delay.waitingTime(now)).isZero();
    }

    @Test
    void shouldCountFromTheBeginOfThePass() {
      delay.recordRequest(now);

      assertThat(delay.recordRequest(now.plusMillis(40))).isFalse();
      assertThat(delay.waitingTime(now.plusMillis(40))).isEqualTo(Duration.ofMillis(40));
    }

    @Test
    void shouldCountHalfOfThePassBeforeWhenThatEndedJustNow() {
      pass(80);
      delay.recordRequest(now);

      assertThat(delay.waitingTime(now)).isEqualTo(Duration.ofMillis(40));
    }

    @Test
    void shouldNotCountThePassBeforeWhenTheThreadWaitedSince() {
      pass(80);
      now = now.plusMillis(5);
      delay.recordRequest(now);

      assertThat(delay.waitingTime(now)).isZero();
    }
  }

  @Nested
  class MakesTooLate {
    @Test
    void shouldNotRefuseAfterASinglePause() {
      pass(500);
      delay.recordRequest(now);

      assertThat(delay.wouldAnswerLate(OBJECTIVE, now)).isFalse();
    }

    @Test
    void shouldRefuseWhatWouldBeLateWhileTheThreadIsBehind() {
      pass(160);
      pass(160);
      delay.recordRequest(now);

      assertThat(delay.wouldAnswerLate(OBJECTIVE, now)).isTrue();
      assertThat(delay.wouldAnswerLate(Duration.ofMillis(400), now)).isFalse();
    }

    @Test
    void shouldTakeRequestsAgainAfterOneShortPass() {
      pass(160);
      pass(160);
      pass(10);
      delay.recordRequest(now);

      assertThat(delay.wouldAnswerLate(OBJECTIVE, now.plusMillis(90))).isFalse();
    }

    @Test
    void shouldNotRefuseLateReturnsWhileTheThreadKeepsUp() {
      pass(15);
      pass(15);
      delay.recordRequest(now);

      assertThat(delay.wouldAnswerLate(Duration.ofMillis(-100), now)).isFalse();
    }
  }
}
