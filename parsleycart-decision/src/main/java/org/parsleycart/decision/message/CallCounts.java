package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

/**
 * The calls of one version on one route that count as evidence, since the process started.
 *
 * @param version the version of the upstream
 * @param route the name of the route
 * @param good calls answered within the objective
 * @param slow calls answered late while the upstream was warm
 * @param failed calls that failed
 */
public record CallCounts(String version, String route, long good, long slow, long failed) {

  // -- construction

  public CallCounts {
    requireNonNull(version, "version is null");
    requireNonNull(route, "route is null");
  }

  // -- queries

  /** Returns the number of calls. */
  public long total() {
    return good + slow + failed;
  }

  /** Returns the counts of this and another set of calls of the same version and route. */
  public CallCounts plus(CallCounts other) {
    return new CallCounts(
        version, route, good + other.good, slow + other.slow, failed + other.failed);
  }

  /** Returns the counts above an earlier reading, never negative. */
  public CallCounts since(CallCounts earlier) {
    return new CallCounts(
        version,
        route,
        Math.max(0, good - earlier.good),
        Math.max(0, slow - earlier.slow),
        Math.max(0, failed - earlier.failed));
  }
}
