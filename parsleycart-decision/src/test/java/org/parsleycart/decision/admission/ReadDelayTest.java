package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadDelayTest {
  private static final Duration OBJECTIVE = Duration.ofMillis(300);

  private final ReadDelay readDelay = new ReadDelay();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  /** Reads one request at the start of a pass of the given duration. */
  private void runPass(long milliseconds) {
    readDelay.recordRequest(now);
    now = now.plusMillis(milliseconds);
    readDelay.recordPassEnd(now);
  }

  @Nested
  class WaitingTime {
    @Test
    void shouldBeZeroWhenTheThreadKeepsUp() {
      readDelay.recordRequest(now);

      assertThat(readDelay.waitingTime(now)).isZero();
    }

    @Test
    void shouldStartAtTheBeginningOfThePassWhenReadLater() {
      readDelay.recordRequest(now);

      assertThat(readDelay.recordRequest(now.plusMillis(40))).isFalse();
      assertThat(readDelay.waitingTime(now.plusMillis(40))).isEqualTo(Duration.ofMillis(40));
    }

    @Test
    void shouldIncludeHalfOfThePreviousPassWhenItJustEnded() {
      runPass(80);
      readDelay.recordRequest(now);

      assertThat(readDelay.waitingTime(now)).isEqualTo(Duration.ofMillis(40));
    }

    @Test
    void shouldNotIncludeThePreviousPassWhenTheThreadWasIdleSince() {
      runPass(80);
      now = now.plusMillis(5);
      readDelay.recordRequest(now);

      assertThat(readDelay.waitingTime(now)).isZero();
    }
  }

  @Nested
  class WouldAnswerLate {
    @Test
    void shouldBeFalseWhenOnlyOnePassWasLong() {
      runPass(500);
      readDelay.recordRequest(now);

      assertThat(readDelay.wouldAnswerLate(OBJECTIVE, now)).isFalse();
    }

    @Test
    void shouldBeTrueForLateAnswersWhenTheThreadIsBehind() {
      runPass(160);
      runPass(160);
      readDelay.recordRequest(now);

      assertThat(readDelay.wouldAnswerLate(OBJECTIVE, now)).isTrue();
      assertThat(readDelay.wouldAnswerLate(Duration.ofMillis(400), now)).isFalse();
    }

    @Test
    void shouldBeFalseWhenAShortPassFollowsLongPasses() {
      runPass(160);
      runPass(160);
      runPass(10);
      readDelay.recordRequest(now);

      assertThat(readDelay.wouldAnswerLate(OBJECTIVE, now.plusMillis(90))).isFalse();
    }

    @Test
    void shouldBeFalseForLateAnswersWhenTheThreadKeepsUp() {
      runPass(15);
      runPass(15);
      readDelay.recordRequest(now);

      assertThat(readDelay.wouldAnswerLate(Duration.ofMillis(-100), now)).isFalse();
    }
  }
}
