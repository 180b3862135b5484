package org.parsleycart.bench;

/** The policy that decides the steps of a rollout. */
enum RolloutPolicy {
  /** The rollout evaluator of the daemon. */
  PRODUCT,
  /** A fixed failure threshold over a sliding window, and equal steps of the share. */
  THRESHOLDS
}
