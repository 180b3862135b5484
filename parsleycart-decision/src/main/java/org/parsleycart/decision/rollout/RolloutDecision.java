package org.parsleycart.decision.rollout;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;

/** The next action on a rollout. */
public sealed interface RolloutDecision {

  /** Returns the rollout after this decision has been applied to it. */
  Rollout applyTo(Rollout rollout);

  /** Leaves the rollout unchanged for the given reason. */
  record Hold(String reason) implements RolloutDecision {
    public Hold {
      requireNonNull(reason, "reason is null");
    }

    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout;
    }
  }

  /** Increases the share of the new version to the given value in thousandths. */
  record IncreaseShare(int sharePerMille) implements RolloutDecision {
    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout.withShare(sharePerMille);
    }
  }

  /** Sends all traffic to the new version and keeps the old version ready. */
  record Soak() implements RolloutDecision {
    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout.withPhase(RolloutPhase.SOAKING, "full share reached");
    }
  }

  /** Completes the rollout, which makes the new version the current version. */
  record Complete() implements RolloutDecision {
    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout.withPhase(RolloutPhase.COMPLETED, "completed");
    }
  }

  /** Rolls the new version back for the given reason. */
  record RollBack(String reason) implements RolloutDecision {
    public RollBack {
      requireNonNull(reason, "reason is null");
    }

    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout.withPhase(RolloutPhase.ROLLED_BACK, reason);
    }
  }
}
