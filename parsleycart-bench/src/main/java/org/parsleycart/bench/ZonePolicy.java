package org.parsleycart.bench;

/** How calls are routed and admitted. */
enum ZonePolicy {
  /** The routing, retries and admission control of the daemon. */
  PRODUCT,
  /** Round-robin routing, and a concurrency limit equal to the slots with a queue. */
  FIXED_LIMIT,
  /** Round-robin routing without a concurrency limit. */
  NO_ADMISSION
}
