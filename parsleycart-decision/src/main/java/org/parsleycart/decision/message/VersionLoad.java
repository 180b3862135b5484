package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

/**
 * The load of one upstream, for the judge of a rollout.
 *
 * @param version the version that the upstream runs
 * @param busy calls running and waiting
 * @param limit calls that may run at once
 */
public record VersionLoad(String version, int busy, int limit) {

  // -- construction

  public VersionLoad {
    requireNonNull(version, "version is null");
  }
}
