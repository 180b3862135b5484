package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ConfigurationHead;

class FreshnessTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:10Z");
  private static final ConfigurationHead OWN = new ConfigurationHead(7, "0123456789abcdef");

  private final Freshness freshness = new Freshness();

  @Test
  void shouldHaveNoAgeWhenNothingWasConfirmed() {
    assertThat(freshness.confirmationAge(NOW)).isEmpty();
  }

  @Test
  void shouldKeepTheNewestConfirmationWhenAnOlderOneFollows() {
    freshness.recordConfirmation(NOW.minusSeconds(1));
    freshness.recordConfirmation(NOW.minusSeconds(3));

    assertThat(freshness.confirmationAge(NOW)).contains(Duration.ofSeconds(1));
  }

  @Test
  void shouldAdoptTheAgeWhenAPeerReportsTheSameVersion() {
    freshness.recordPeerConfirmation(OWN, Optional.of(Duration.ofMillis(400)), OWN, NOW);

    assertThat(freshness.confirmationAge(NOW.plusMillis(100))).contains(Duration.ofMillis(500));
  }

  @Test
  void shouldIgnoreTheAgeWhenAPeerHoldsANewerVersion() {
    ConfigurationHead newer = new ConfigurationHead(8, "fedcba9876543210");

    freshness.recordPeerConfirmation(newer, Optional.of(Duration.ZERO), OWN, NOW);

    assertThat(freshness.confirmationAge(NOW)).isEmpty();
  }

  @Test
  void shouldHaveNoAgeWhenThePeerReportsNone() {
    freshness.recordPeerConfirmation(OWN, Optional.empty(), OWN, NOW);

    assertThat(freshness.confirmationAge(NOW)).isEmpty();
  }
}
