package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.OutgoingMessage;
import org.threeten.extra.MutableClock;

/**
 * A daemon whose own link is congested, for example by uploads to the upstream beside it: every
 * connection takes longer than a connection to a live peer usually does.
 */
class PullOverSlowLinkTest {
  private static final int PEERS = 10;
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration BOUND = Duration.ofMillis(2500);
  private static final ConfigurationHead OWN = new ConfigurationHead(40, "aa");
  private static final ConfigurationHead NEWER = new ConfigurationHead(41, "bb");

  private final MutableClock clock =
      MutableClock.of(Instant.parse("2026-01-01T00:00:00Z"), ZoneOffset.UTC);
  private final PullPlanner planner = new PullPlanner("self", new Random(29));
  private final AdaptiveTimeout timeout =
      new AdaptiveTimeout(Duration.ofMillis(300), PullPlanner.PULL_TIMEOUT);

  /** Pulls until a connection succeeds; returns the time that this took. */
  private Duration timeToPull(Duration connectTime) {
    Instant begin = clock.instant();
    while (true) {
      IntStream.range(0, PEERS).forEach(peer -> planner.recordHead("peer-" + peer, NEWER, OWN));
      Optional<OutgoingMessage> pull = planner.nextPull(OWN, clock.instant());
      if (pull.isPresent() && connectTime.compareTo(timeout.current()) < 0) {
        clock.add(connectTime);
        timeout.recordSuccess(connectTime);
        planner.recordAnswer(true, clock.instant());
        return Duration.between(begin, clock.instant());
      }
      if (pull.isPresent()) {
        clock.add(timeout.current());
        timeout.recordFailure();
        planner.recordFailure(clock.instant());
      }
      clock.add(TICK);
      assertThat(Duration.between(begin, clock.instant()))
          .as("time without a version from any peer")
          .isLessThan(Duration.ofSeconds(60));
    }
  }

  /**
   * Guards against a daemon that stays behind because every pull gives up before its link answers.
   */
  @ParameterizedTest
  @ValueSource(ints = {20, 250, 400, 550})
  void shouldPullInTimeWhenTheOwnLinkDelaysEveryConnection(int connectMilliseconds) {
    assertThat(timeToPull(Duration.ofMillis(connectMilliseconds))).isLessThan(BOUND);
  }

  @Test
  void shouldPullAtOnceWhenTheLinkIsStillAsSlowAsBefore() {
    Duration connectTime = Duration.ofMillis(500);
    timeToPull(connectTime);

    assertThat(timeToPull(connectTime)).isEqualTo(connectTime);
  }

  @Test
  void shouldGiveUpSoonerAgainWhenTheLinkHasRecovered() {
    timeToPull(Duration.ofMillis(500));
    timeToPull(Duration.ofMillis(10));

    assertThat(timeout.current()).isEqualTo(Duration.ofMillis(300));
  }
}
