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
  private final IdempotencyKeyRegistry memory =
      new IdempotencyKeyRegistry(clock, Duration.ofMinutes(10), 2);

  @Test
  void shouldGrantAKeyOnce() {
    assertThat(memory.claim("a", false)).isEqualTo(Claim.GRANTED);
    assertThat(memory.claim("a", false)).isEqualTo(Claim.DUPLICATE);
    assertThat(memory.claim("a", true)).isEqualTo(Claim.DUPLICATE);
  }

  @Test
  void shouldGrantAgainWhenTheRequestDidNotRun() {
    memory.claim("a", false);
    memory.release("a");

    assertThat(memory.claim("a", false)).isEqualTo(Claim.GRANTED);
  }

  @Test
  void shouldNotGrantARepeatOfWhichNothingIsRemembered() {
    assertThat(memory.claim("a", true)).isEqualTo(Claim.UNKNOWN_REPEAT);
  }

  @Test
  void shouldGrantNothingNewWhenItIsFullAndRoomAgainAfterATime() {
    memory.claim("a", false);
    memory.claim("b", false);

    assertThat(memory.claim("c", false)).isEqualTo(Claim.FULL);
    clock.add(Duration.ofMinutes(11));
    assertThat(memory.claim("c", false)).isEqualTo(Claim.GRANTED);
  }
}
