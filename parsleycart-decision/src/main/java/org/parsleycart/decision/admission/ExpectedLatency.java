package org.parsleycart.decision.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The latency to expect of a call on each route of one upstream. Not thread-safe; callers hold the
 * lock of the owning {@link AdmissionControl}.
 */
final class ExpectedLatency {
  /**
   * After this time without a started call on a route, one call is admitted whatever the usual
   * latency of the route. Otherwise an upstream that was slow for a while could never be observed
   * to have recovered.
   */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

  private final ConcurrencyLimit limit;
  private final Map<String, Instant> lastStartByRoute = new HashMap<>();

  ExpectedLatency(ConcurrencyLimit limit) {
    this.limit = limit;
  }

  /** Records that a call on a route starts. */
  void recordStart(String route, Instant now) {
    lastStartByRoute.put(route, now);
  }

  /** Returns the usual latency of a route, or zero if a call is due that probes the upstream. */
  Duration of(String route, Instant now) {
    Instant lastStart = lastStartByRoute.getOrDefault(route, Instant.EPOCH);
    boolean isProbeDue = lastStart.plus(PROBE_INTERVAL).isBefore(now);
    return isProbeDue ? Duration.ZERO : limit.usualLatency(route);
  }
}
