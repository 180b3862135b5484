package org.parsleycart.bench;

/** What the zone does. */
enum ZoneMove {
  /** Operators withdraw it and return it. */
  WITHDRAWAL,
  /** It loses its power at once, unannounced, and comes back cold. */
  POWER_LOSS,
  /** Its upstreams turn cold without a word. */
  SILENT_RESTART,
  /** One upstream in four fails every call. */
  ONE_FAILS
}
