package org.parsleycart.bench;

/** How calls are admitted and sent. */
enum ZonePolicy {
  PRODUCT,
  /** As many calls at once as slots, the rest in a queue; upstreams in turn. */
  FIXED_LIMIT,
  /** All calls at once; upstreams in turn. */
  NO_ADMISSION
}
