package org.parsleycart.bench;

/** The disruption of a zone in a trial. */
enum ZoneDisruption {
  /** Operators withdraw the zone and return it. */
  WITHDRAWAL,
  /** The zone fails without an announcement and returns with cold upstreams. */
  POWER_LOSS,
  /** The upstreams of the zone become cold without an announcement. */
  SILENT_RESTART,
  /** One upstream in four fails every call. */
  ONE_FAILS
}
