package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.Head;

class FreshnessTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:10Z");
  private static final Head OWN = new Head(7, "0123456789abcdef");

  private final Freshness freshness = new Freshness();

  @Test
  void shouldKnowNothingAtTheStart() {
    assertThat(freshness.age(NOW)).isEmpty();
  }

  @Test
  void shouldKeepTheNewestConfirmation() {
    freshness.confirmed(NOW.minusSeconds(1));
    freshness.confirmed(NOW.minusSeconds(3));

    assertThat(freshness.age(NOW)).contains(Duration.ofSeconds(1));
  }

  @Test
  void shouldTakeTheAgeThatAPeerTellsOfTheSameVersion() {
    freshness.peerTold(OWN, Optional.of(Duration.ofMillis(400)), OWN, NOW);

    assertThat(freshness.age(NOW.plusMillis(100))).contains(Duration.ofMillis(500));
  }

  @Test
  void shouldNotTakeWhatAPeerTellsOfAVersionThatIsMissingHere() {
    Head newer = new Head(8, "fedcba9876543210");

    freshness.peerTold(newer, Optional.of(Duration.ZERO), OWN, NOW);

    assertThat(freshness.age(NOW)).isEmpty();
  }

  @Test
  void shouldNotTakeTheAgeOfAPeerThatKnowsNone() {
    freshness.peerTold(OWN, Optional.empty(), OWN, NOW);

    assertThat(freshness.age(NOW)).isEmpty();
  }
}
