package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an upstream states about itself in one of its answers. It holds until another answer states
 * otherwise.
 *
 * @param callsPerSecond the calls per second that it takes from all daemons together, or empty for
 *     no limit
 * @param isLeaving whether it is about to end and takes no new calls
 * @param load its load, empty if it states none or a malformed one
 * @param loadProblem what is wrong with a malformed load
 */
public record UpstreamNotice(
    OptionalDouble callsPerSecond,
    boolean isLeaving,
    Optional<ServerLoad> load,
    Optional<String> loadProblem) {
  private static final UpstreamNotice NONE = new UpstreamNotice(OptionalDouble.empty(), false);

  // -- construction

  public UpstreamNotice {
    requireNonNull(callsPerSecond, "callsPerSecond is null");
    requireNonNull(load, "load is null");
    requireNonNull(loadProblem, "loadProblem is null");
  }

  /** Creates a notice without a load. */
  public UpstreamNotice(OptionalDouble callsPerSecond, boolean isLeaving) {
    this(callsPerSecond, isLeaving, Optional.empty(), Optional.empty());
  }

  /** Returns the notice of an answer that states nothing. */
  public static UpstreamNotice none() {
    return NONE;
  }
}
