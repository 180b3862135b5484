package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.Configuration;

/**
 * What one daemon decides by when it routes a call.
 *
 * @param members all known members, including those that get no calls
 * @param directory the upstreams that may receive calls, as seen from the zone of the caller
 * @param loads the loads of upstreams as observed by the daemon
 * @param balancing how the daemon balances calls
 */
public record RoutingState(
    Configuration configuration,
    UrgentFacts facts,
    List<MemberRecord> members,
    UpstreamDirectory directory,
    UpstreamLoadTable loads,
    Balancing balancing) {

  public RoutingState {
    requireNonNull(configuration, "configuration is null");
    requireNonNull(facts, "facts is null");
    members = List.copyOf(members);
    requireNonNull(directory, "directory is null");
    requireNonNull(loads, "loads is null");
    requireNonNull(balancing, "balancing is null");
  }
}
