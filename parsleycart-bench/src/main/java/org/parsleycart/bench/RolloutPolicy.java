package org.parsleycart.bench;

/** Who judges a rollout. */
enum RolloutPolicy {
  PRODUCT,
  /** Fixed thresholds over a window, and equal steps. */
  THRESHOLDS
}
