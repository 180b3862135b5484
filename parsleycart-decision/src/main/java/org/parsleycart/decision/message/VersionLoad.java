package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

/**
 * The load of one upstream, for the evaluation of a rollout.
 *
 * @param version the version that the upstream runs
 * @param outstandingCalls the number of running and waiting calls
 * @param limit the concurrency limit
 */
public record VersionLoad(String version, int outstandingCalls, int limit) {

  // -- construction

  public VersionLoad {
    requireNonNull(version, "version is null");
  }
}
