package org.parsleycart.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A daemon that has just started runs cold code while callers send as much as ever. Requests wait
 * in their sockets, and one that reads them all in turn answers each of them too late.
 */
class BacklogAfterRestartTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration LASTING = Duration.ofSeconds(4);
  private static final Duration BETWEEN_ARRIVALS = Duration.ofMillis(6);
  private static final Duration OBJECTIVE = Duration.ofMillis(300);
  private static final Duration DEADLINE = Duration.ofMillis(800);

  /**
   * The processor time of a request in cold code, which falls with each one as code is compiled.
   */
  private static final double COLD_MILLISECONDS = 20;

  private static final double WARM_MILLISECONDS = 3;
  private static final double WARMING_REQUESTS = 250;
  private static final double REFUSAL_SHARE = 0.2;

  /** A call waits once more at each of the reads that follow the first. */
  private static final int READS = 4;

  private final Deque<Instant> socket = new ArrayDeque<>();
  private Instant now = START;
  private Instant nextArrival = START;
  private double done;
  private int inTime;
  private int refused;

  private void arrive() {
    while (!nextArrival.isAfter(now)) {
      socket.add(nextArrival);
      nextArrival = nextArrival.plus(BETWEEN_ARRIVALS);
    }
  }

  private void spend(double share) {
    double warmth = Math.min(1, done / WARMING_REQUESTS);
    double milliseconds = COLD_MILLISECONDS + warmth * (WARM_MILLISECONDS - COLD_MILLISECONDS);
    now = now.plusNanos((long) (milliseconds * share * 1_000_000));
    done += share;
  }

  private void play(boolean refuses) {
    ReadDelay delay = new ReadDelay();
    while (now.isBefore(START.plus(LASTING))) {
      now = socket.isEmpty() && nextArrival.isAfter(now) ? nextArrival : now;
      arrive();
      List<Instant> ready = new ArrayList<>(socket);
      socket.clear();
      for (Instant sent : ready) {
        delay.recordRequest(now);
        Duration waited = delay.waitingTime(now);
        if (refuses && delay.wouldAnswerLate(OBJECTIVE.minus(waited), now)) {
          refused++;
          spend(REFUSAL_SHARE);
        } else if (Duration.between(sent, now).compareTo(DEADLINE) < 0) {
          Duration expected = Duration.between(sent, now).multipliedBy(READS);
          spend(1);
          inTime += expected.compareTo(OBJECTIVE) <= 0 ? 1 : 0;
        } else {
          spend(1);
        }
      }
      delay.recordPassEnd(now);
    }
  }

  @Test
  void shouldAnswerMoreInTimeThanWhenAllAreRead() {
    BacklogAfterRestartTest all = new BacklogAfterRestartTest();
    all.play(false);

    play(true);

    assertThat(refused).isPositive();
    assertThat(inTime).isGreaterThan(all.inTime * 3 / 2);
  }

  @Test
  void shouldRefuseNothingOnceTheCodeIsWarm() {
    done = WARMING_REQUESTS;

    play(true);

    assertThat(refused).isZero();
  }
}
