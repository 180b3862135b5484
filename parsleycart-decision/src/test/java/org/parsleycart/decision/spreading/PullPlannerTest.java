package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.model.Recency;

/** A daemon that reads the platform itself asks peers only for versions that its own reads lack. */
class PullPlannerTest {
  private static final Instant NOW = Instant.EPOCH;
  private static final Duration OWN_READ_TIMEOUT = Duration.ofMillis(600);
  private final AtomicLong readThrough = new AtomicLong();
  private final PullPlanner planner =
      new PullPlanner(
          "self", new Random(1), () -> new Recency(0, readThrough.get()), () -> OWN_READ_TIMEOUT);

  private static ConfigurationHead head(long version) {
    return new ConfigurationHead(version, "d" + version);
  }

  @Test
  void shouldAskNoPeerWhenItsOwnReadMayStillArrive() {
    planner.recordHead("peer", head(2), head(1));

    assertThat(planner.nextPull(head(1), NOW)).isEmpty();
    readThrough.set(2);
    assertThat(planner.nextPull(head(2), NOW.plus(OWN_READ_TIMEOUT))).isEmpty();
  }

  @Test
  void shouldAskAPeerWhenItsOwnReadTimesOut() {
    planner.recordHead("peer", head(2), head(1));
    planner.nextPull(head(1), NOW);

    assertThat(planner.nextPull(head(1), NOW.plus(OWN_READ_TIMEOUT))).isPresent();
  }

  @Test
  void shouldIgnoreHeadsOfPeersWhenItHasReadPastThem() {
    readThrough.set(9);
    planner.recordHead("peer", head(8), head(5));
    planner.nextPull(head(5), NOW);

    assertThat(planner.nextPull(head(5), NOW.plusSeconds(5))).isEmpty();
  }
}
