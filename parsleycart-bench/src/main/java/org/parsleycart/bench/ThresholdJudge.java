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

/** The baseline: takes back above 5% failures in ten seconds, and goes on in ten equal steps. */
final class ThresholdJudge {
  private static final double HIGHEST_FAILURE_RATE = 0.05;
  private static final int WINDOW_READINGS = 20;
  private static final int STEPS = 10;
  private static final long FEWEST_CALLS = 20;

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
    long[] first = window.peekFirst();
    long fresh = answered + failed - first[0] - first[1];
    long freshFailed = failed - first[1];
    if (window.size() > WINDOW_READINGS) {
      window.removeFirst();
    }
    if (fresh >= FEWEST_CALLS && freshFailed > fresh * HIGHEST_FAILURE_RATE) {
      return new RolloutDecision.RollBack("above the threshold");
    }
    return onSchedule(rollout, now);
  }

  private static RolloutDecision onSchedule(Rollout rollout, Instant now) {
    Duration elapsed = Duration.between(Instant.ofEpochMilli(rollout.startedAt()), now);
    double part = (double) elapsed.toNanos() / rollout.completeWithin().toNanos();
    if (rollout.phase() == RolloutPhase.SOAKING) {
      return part >= 1 ? new RolloutDecision.Complete() : new RolloutDecision.Hold("soaking");
    }
    int step = (int) Math.floor(part * STEPS) + 1;
    int share = step * Rollout.FULL_SHARE_PER_MILLE / STEPS;
    if (share >= Rollout.FULL_SHARE_PER_MILLE) {
      return new RolloutDecision.Soak();
    }
    return share > rollout.sharePerMille()
        ? new RolloutDecision.IncreaseShare(share)
        : new RolloutDecision.Hold("on schedule");
  }
}
