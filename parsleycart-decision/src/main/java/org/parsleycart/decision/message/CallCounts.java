package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Counters of the calls to one version on one route since the counting process started.
 *
 * @param version the version of the upstream
 * @param route the name of the route
 * @param answered calls answered without failure
 * @param latencies answered calls per latency bucket, without calls to upstreams in their cold
 *     start
 */
public record CallCounts(
    String version, String route, long answered, long failed, List<Long> latencies) {

  // -- construction

  public CallCounts {
    requireNonNull(version, "version is null");
    requireNonNull(route, "route is null");
    latencies = List.copyOf(latencies);
  }

  // -- queries

  /** Returns the number of answered and failed calls. */
  public long total() {
    return answered + failed;
  }

  /** Returns the increase since an earlier reading. A decrease counts as 0. */
  public CallCounts since(CallCounts earlier) {
    return new CallCounts(
        version,
        route,
        Math.max(0, answered - earlier.answered),
        Math.max(0, failed - earlier.failed),
        IntStream.range(0, latencies.size())
            .mapToObj(bucket -> Math.max(0, latencies.get(bucket) - earlier.latencies.get(bucket)))
            .toList());
  }
}
