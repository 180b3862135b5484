package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import org.parsleycart.decision.membership.AnnouncedUpstream;

/**
 * An upstream that a call may go to.
 *
 * @param upstream the upstream
 * @param daemonIdentifier the identifier of the daemon beside it
 * @param zone its availability zone
 * @param callAddress where the daemon beside it takes calls, {@code host:port}
 */
public record Candidate(
    AnnouncedUpstream upstream, String daemonIdentifier, String zone, String callAddress) {

  // -- construction

  public Candidate {
    requireNonNull(upstream, "upstream is null");
    requireNonNull(daemonIdentifier, "daemonIdentifier is null");
    requireNonNull(zone, "zone is null");
    requireNonNull(callAddress, "callAddress is null");
  }

  // -- queries

  /** Returns the identifier of the upstream. */
  public String identifier() {
    return upstream.identifier();
  }
}
