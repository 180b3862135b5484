package org.parsleycart.decision.rollout;

import static java.util.Objects.requireNonNull;

/** What to do with a rollout now. */
public sealed interface RolloutDecision {

  /** Leave it as it is, for the given reason. */
  record Stay(String reason) implements RolloutDecision {
    public Stay {
      requireNonNull(reason, "reason is null");
    }
  }

  /** Give the new version a larger share, in thousandths. */
  record Step(int sharePerMille) implements RolloutDecision {}

  /** Give the new version all traffic and keep the old one ready. */
  record Soak() implements RolloutDecision {}

  /** Put the new version in charge. */
  record Complete() implements RolloutDecision {}

  /** Take the new version back, for the given reason. */
  record Condemn(String reason) implements RolloutDecision {
    public Condemn {
      requireNonNull(reason, "reason is null");
    }
  }
}
