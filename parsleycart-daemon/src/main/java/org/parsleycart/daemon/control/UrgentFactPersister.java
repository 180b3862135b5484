package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.RendezvousHash;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.rollout.RolloutDecision;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.Rollout;
import org.parsleycart.store.ConfigurationAuthority;

/**
 * Writes urgent facts into the configuration as soon as the platform is reachable.
 *
 * <p>One daemon is responsible for each subject. If two daemons write the same fact, both use the
 * same change identifier, so that the change is accepted only once.
 */
public final class UrgentFactPersister {
  private static final String AUTHOR = "parsleycart";

  private final MeshState state;
  private final ConfigurationAuthority authority;

  // -- construction

  public UrgentFactPersister(MeshState state, ConfigurationAuthority authority) {
    this.state = requireNonNull(state, "state is null");
    this.authority = requireNonNull(authority, "authority is null");
  }

  // -- operation

  /**
   * Writes the urgent facts that this daemon is responsible for and that the configuration lacks.
   * Does nothing while the platform is unreachable.
   */
  public void persistMissing(MembershipView view, boolean platformReachable) {
    if (!platformReachable) {
      return;
    }
    state.facts().all().stream()
        .filter(fact -> isResponsible(view, fact))
        .flatMap(fact -> findMissingChange(fact).stream())
        .forEach(change -> authority.accept(change, Optional.empty()));
  }

  private static boolean isResponsible(MembershipView view, UrgentFact fact) {
    Optional<String> owner =
        RendezvousHash.owner(view.alive().map(MemberRecord::identifier), fact.subject().toString());
    return owner.equals(Optional.of(view.self().identifier()));
  }

  private Optional<ConfigurationChange> findMissingChange(UrgentFact fact) {
    Configuration configuration = state.configuration();
    if (fact.subject().kind() == ResourceKind.AVAILABILITY_ZONE) {
      return findMissingZoneChange(fact, configuration);
    }
    return configuration
        .rollout(fact.subject().name())
        .filter(rollout -> rollout.phase().isActive())
        .filter(rollout -> state.facts().rejection(rollout).isPresent())
        .map(rollout -> rollbackChange(rollout, fact));
  }

  private Optional<ConfigurationChange> findMissingZoneChange(
      UrgentFact fact, Configuration configuration) {
    String zone = fact.subject().name();
    boolean pending = state.facts().pendingZoneFact(configuration, zone).isPresent();
    if (!pending || configuration.isWithdrawn(zone) == fact.restrictive()) {
      return Optional.empty();
    }
    String identifier = "zone-" + zone + "-" + fact.epoch() + "-" + fact.counter();
    return ZoneChanges.change(configuration, zone, fact.restrictive(), identifier, AUTHOR);
  }

  private static ConfigurationChange rollbackChange(Rollout rollout, UrgentFact fact) {
    Rollout rolledBack = new RolloutDecision.RollBack(fact.reason()).applyTo(rollout);
    String identifier = "condemn-" + rollout.name() + "-" + rollout.startedAt();
    return new ConfigurationChange(identifier, AUTHOR, List.of(rolledBack), List.of());
  }
}
