package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import org.parsleycart.decision.membership.AnnouncedUpstream;

/**
 * An upstream that may receive a call.
 *
 * @param daemonIdentifier the identifier of the daemon beside the upstream
 * @param zone the availability zone of the upstream
 * @param callAddress the address at which the daemon beside the upstream accepts calls, {@code
 *     host:port}
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
