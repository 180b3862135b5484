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
 * Simulates a daemon that has just started and runs uncompiled code under full load. Requests wait
 * in their sockets. If the daemon processes all of them in turn, it answers each one too late.
 */
class BacklogAfterRestartTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration SIMULATED_TIME = Duration.ofSeconds(4);
  private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(6);
  private static final Duration OBJECTIVE = Duration.ofMillis(300);
  private static final Duration DEADLINE = Duration.ofMillis(800);

  /**
   * Processing time of a request in uncompiled code. It falls with each request as code is
   * compiled.
   */
  private static final double COLD_PROCESSING_MILLISECONDS = 20;

  private static final double WARM_PROCESSING_MILLISECONDS = 3;
  private static final double REQUESTS_UNTIL_WARM = 250;
  private static final double REFUSAL_COST_SHARE = 0.2;

  /** Number of reads per call; each read is assumed to wait as long as the first. */
  private static final int READS_PER_CALL = 4;

  private final Deque<Instant> socket = new ArrayDeque<>();
  private Instant now = START;
  private Instant nextArrival = START;
  private double processedRequests;
  private int answeredInTime;
  private int refusedRequests;

  private void receiveArrivals() {
    while (!nextArrival.isAfter(now)) {
      socket.add(nextArrival);
      nextArrival = nextArrival.plus(ARRIVAL_INTERVAL);
    }
  }

  private void process(double costShare) {
    double warmUpProgress = Math.min(1, processedRequests / REQUESTS_UNTIL_WARM);
    double milliseconds =
        COLD_PROCESSING_MILLISECONDS
            + warmUpProgress * (WARM_PROCESSING_MILLISECONDS - COLD_PROCESSING_MILLISECONDS);
    now = now.plusNanos((long) (milliseconds * costShare * 1_000_000));
    processedRequests += costShare;
  }

  private void simulate(boolean isRefusalEnabled) {
    ReadDelay readDelay = new ReadDelay();
    while (now.isBefore(START.plus(SIMULATED_TIME))) {
      now = socket.isEmpty() && nextArrival.isAfter(now) ? nextArrival : now;
      receiveArrivals();
      List<Instant> ready = new ArrayList<>(socket);
      socket.clear();
      for (Instant arrivedAt : ready) {
        readDelay.recordRequest(now);
        Duration waited = readDelay.waitingTime(now);
        if (isRefusalEnabled && readDelay.wouldAnswerLate(OBJECTIVE.minus(waited), now)) {
          refusedRequests++;
          process(REFUSAL_COST_SHARE);
        } else if (Duration.between(arrivedAt, now).compareTo(DEADLINE) < 0) {
          Duration expectedLatency = Duration.between(arrivedAt, now).multipliedBy(READS_PER_CALL);
          process(1);
          answeredInTime += expectedLatency.compareTo(OBJECTIVE) <= 0 ? 1 : 0;
        } else {
          process(1);
        }
      }
      readDelay.recordPassEnd(now);
    }
  }

  @Test
  void shouldAnswerMoreInTimeWhenLateRequestsAreRefused() {
    BacklogAfterRestartTest withoutRefusals = new BacklogAfterRestartTest();
    withoutRefusals.simulate(false);

    simulate(true);

    assertThat(refusedRequests).isPositive();
    assertThat(answeredInTime).isGreaterThan(withoutRefusals.answeredInTime * 3 / 2);
  }

  @Test
  void shouldRefuseNothingWhenTheCodeIsWarm() {
    processedRequests = REQUESTS_UNTIL_WARM;

    simulate(true);

    assertThat(refusedRequests).isZero();
  }
}
