package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RunningDeadlinesTest {
  private static final Instant DEADLINE = Instant.EPOCH.plusSeconds(1);

  private final RunningDeadlines deadlines = new RunningDeadlines();

  @Test
  void shouldServeNothingWhenNothingRuns() {
    assertThat(deadlines.mayServe(DEADLINE)).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"-6, false", "-5, true", "0, true", "5, true", "6, false"})
  void shouldServeRunningCallWithTheSameDeadline(int milliseconds, boolean expected) {
    deadlines.add(DEADLINE);

    assertThat(deadlines.mayServe(DEADLINE.plusMillis(milliseconds))).isEqualTo(expected);
  }

  @Test
  void shouldServeUntilAllCallsWithTheDeadlineHaveEnded() {
    deadlines.add(DEADLINE);
    deadlines.add(DEADLINE);
    deadlines.remove(DEADLINE);
    assertThat(deadlines.mayServe(DEADLINE)).isTrue();

    deadlines.remove(DEADLINE);
    assertThat(deadlines.mayServe(DEADLINE)).isFalse();
  }
}
