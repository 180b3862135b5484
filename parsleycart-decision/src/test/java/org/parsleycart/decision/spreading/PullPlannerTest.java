package org.parsleycart.decision.spreading;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ConfigurationHead;

/** A daemon that reads the platform itself asks peers only for what its own reading lacks. */
class PullPlannerTest {
  private static final Instant NOW = Instant.EPOCH;
  private static final Duration PATIENCE = Duration.ofMillis(600);
  private final AtomicLong knownThrough = new AtomicLong();
  private final PullPlanner planner =
      new PullPlanner("self", new Random(1), knownThrough::get, () -> PATIENCE);

  private static ConfigurationHead head(long version) {
    return new ConfigurationHead(version, "d" + version);
  }

  @Test
  void shouldAskNobodyWhileItsOwnReadingMayStillArrive() {
    planner.recordHead("peer", head(2), head(1));

    assertThat(planner.nextPull(head(1), NOW)).isEmpty();
    knownThrough.set(2);
    assertThat(planner.nextPull(head(2), NOW.plus(PATIENCE))).isEmpty();
  }

  @Test
  void shouldAskAPeerOnceItsOwnReadingIsLate() {
    planner.recordHead("peer", head(2), head(1));
    planner.nextPull(head(1), NOW);

    assertThat(planner.nextPull(head(1), NOW.plus(PATIENCE))).isPresent();
  }

  @Test
  void shouldTakeNoNewsFromPeersBelowWhatItHasRead() {
    knownThrough.set(9);
    planner.recordHead("peer", head(8), head(5));
    planner.nextPull(head(5), NOW);

    assertThat(planner.nextPull(head(5), NOW.plusSeconds(5))).isEmpty();
  }
}
