package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.admission.IdempotencyKeyRegistry.Claim;
import org.threeten.extra.MutableClock;

class IdempotencyKeyRegistryTest {
  private final MutableClock clock = MutableClock.of(Instant.EPOCH, ZoneOffset.UTC);
  private final IdempotencyKeyRegistry registry =
      new IdempotencyKeyRegistry(clock, Duration.ofMinutes(10), 2);

  @Test
  void shouldGrantAKeyOnlyOnceWhenItIsClaimedAgain() {
    assertThat(registry.claim("a", false)).isEqualTo(Claim.GRANTED);
    assertThat(registry.claim("a", false)).isEqualTo(Claim.DUPLICATE);
    assertThat(registry.claim("a", true)).isEqualTo(Claim.DUPLICATE);
  }

  @Test
  void shouldGrantAKeyAgainWhenItWasReleased() {
    registry.claim("a", false);
    registry.release("a");

    assertThat(registry.claim("a", false)).isEqualTo(Claim.GRANTED);
  }

  @Test
  void shouldNotGrantAKeyWhenTheDeclaredRepeatIsUnknown() {
    assertThat(registry.claim("a", true)).isEqualTo(Claim.UNKNOWN_REPEAT);
  }

  @Test
  void shouldGrantNoNewKeyWhenFullUntilKeysExpire() {
    registry.claim("a", false);
    registry.claim("b", false);

    assertThat(registry.claim("c", false)).isEqualTo(Claim.FULL);
    clock.add(Duration.ofMinutes(11));
    assertThat(registry.claim("c", false)).isEqualTo(Claim.GRANTED);
  }
}
