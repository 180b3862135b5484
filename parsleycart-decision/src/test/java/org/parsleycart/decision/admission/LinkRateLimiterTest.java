package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class LinkRateLimiterTest {
  private static final Instant START = Instant.EPOCH;

  /** Usable are 100,000 bytes a second, 10,000 at once. */
  private final LinkRateLimiter limiter = new LinkRateLimiter(OptionalLong.of(125_000), START);

  @Test
  void shouldLimitNothingBeforeSizesAreKnown() {
    assertThat(limiter.isLimited("long")).isFalse();
    assertThat(limiter.isStartAllowed("long", START)).isTrue();
  }

  @Test
  void shouldLimitOnlyRoutesWithLongResponses() {
    limiter.recordResponse("long", 10_000);
    limiter.recordResponse("short", 1_000);

    assertThat(limiter.isLimited("long")).isTrue();
    assertThat(limiter.isLimited("short")).isFalse();
  }

  @Test
  void shouldLimitNothingWithoutRateOfLink() {
    LinkRateLimiter unlimited = new LinkRateLimiter(OptionalLong.empty(), START);
    unlimited.recordResponse("long", 10_000_000);
    unlimited.recordStart("long", START);

    assertThat(unlimited.isStartAllowed("long", START)).isTrue();
    assertThat(unlimited.expectedWait("long", Stream.of("long"), START)).isZero();
  }

  @Test
  void shouldStartLongResponsesAtUsableRate() {
    limiter.recordResponse("long", 5_000);
    limiter.recordStart("long", START);
    assertThat(limiter.isStartAllowed("long", START)).isTrue();
    limiter.recordStart("long", START);
    assertThat(limiter.isStartAllowed("long", START)).isFalse();

    assertThat(limiter.isStartAllowed("long", START.plusMillis(1))).isTrue();
  }

  @Test
  void shouldStartShortResponsesWhateverIsLeft() {
    limiter.recordResponse("long", 50_000);
    limiter.recordResponse("short", 100);
    limiter.recordStart("long", START);

    assertThat(limiter.isStartAllowed("short", START)).isTrue();
    assertThat(limiter.isStartAllowed("long", START)).isFalse();
  }

  @Test
  void shouldExpectToWaitForLongResponsesAhead() {
    limiter.recordResponse("long", 5_000);

    assertThat(limiter.expectedWait("long", Stream.of("long", "short"), START)).isZero();
    assertThat(limiter.expectedWait("long", Stream.of("long", "long", "long"), START))
        .isEqualTo(Duration.ofMillis(50));
  }
}
