package org.parsleycart.decision.rollout;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;

/** What to do with a rollout now. */
public sealed interface RolloutDecision {

  /** Returns the rollout as it stands once this decision is carried out. */
  Rollout applyTo(Rollout rollout);

  /** Leave it as it is, for the given reason. */
  record Hold(String reason) implements RolloutDecision {
    public Hold {
      requireNonNull(reason, "reason is null");
    }

    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout;
    }
  }

  /** Give the new version a larger share, in thousandths. */
  record IncreaseShare(int sharePerMille) implements RolloutDecision {
    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout.withShare(sharePerMille);
    }
  }

  /** Give the new version all traffic and keep the old one ready. */
  record Soak() implements RolloutDecision {
    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout.withPhase(RolloutPhase.SOAKING, "full share reached");
    }
  }

  /** Put the new version in charge. */
  record Complete() implements RolloutDecision {
    @Override
    public Rollout applyTo(Rollout rollout) {
      return rollout.withPhase(RolloutPhase.COMPLETED, "completed");
    }
  }

  /** Take the new version back, for the given reason. */
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
