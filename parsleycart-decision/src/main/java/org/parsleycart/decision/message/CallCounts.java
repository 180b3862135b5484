package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The calls of one version on one route, since the process that counts them started.
 *
 * @param version the version of the upstream
 * @param route the name of the route
 * @param answered calls answered without failure
 * @param failed calls that failed
 * @param latencies calls answered by upstreams past their cold start, by bucket of latency
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

  /** Returns the number of calls. */
  public long total() {
    return answered + failed;
  }

  /** Returns the counts above an earlier reading, never negative. */
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
