package org.parsleycart.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.rollout.RolloutDecision;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;

/**
 * Baseline for rollouts: rolls back above 5% failures within ten seconds, and otherwise raises the
 * share in ten equal steps.
 */
final class ThresholdEvaluator {
  private static final double MAXIMUM_FAILURE_RATE = 0.05;

  /** Ten seconds of readings at intervals of 500 ms. */
  private static final int WINDOW_READINGS = 20;

  private static final int STEPS = 10;
  private static final long MINIMUM_CALLS = 20;

  private final Deque<long[]> window = new ArrayDeque<>();

  RolloutDecision decide(Rollout rollout, List<CallCounts> counts, Instant now) {
    long answered = 0;
    long failed = 0;
    for (CallCounts each : counts) {
      if (each.version().equals(rollout.version())) {
        answered += each.answered();
        failed += each.failed();
      }
    }
    window.addLast(new long[] {answered, failed});
    long[] oldest = window.peekFirst();
    long callsInWindow = answered + failed - oldest[0] - oldest[1];
    long failuresInWindow = failed - oldest[1];
    if (window.size() > WINDOW_READINGS) {
      window.removeFirst();
    }
    if (callsInWindow >= MINIMUM_CALLS && failuresInWindow > callsInWindow * MAXIMUM_FAILURE_RATE) {
      return new RolloutDecision.RollBack("above the threshold");
    }
    return nextScheduledStep(rollout, now);
  }

  private static RolloutDecision nextScheduledStep(Rollout rollout, Instant now) {
    Duration elapsed = Duration.between(Instant.ofEpochMilli(rollout.startedAt()), now);
    double elapsedShare = (double) elapsed.toNanos() / rollout.completeWithin().toNanos();
    if (rollout.phase() == RolloutPhase.SOAKING) {
      return elapsedShare >= 1
          ? new RolloutDecision.Complete()
          : new RolloutDecision.Hold("soaking");
    }
    int step = (int) Math.floor(elapsedShare * STEPS) + 1;
    int share = step * Rollout.FULL_SHARE_PER_MILLE / STEPS;
    if (share >= Rollout.FULL_SHARE_PER_MILLE) {
      return new RolloutDecision.Soak();
    }
    return share > rollout.sharePerMille()
        ? new RolloutDecision.IncreaseShare(share)
        : new RolloutDecision.Hold("on schedule");
  }
}
