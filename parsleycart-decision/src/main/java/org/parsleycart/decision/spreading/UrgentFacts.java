package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.ResourceReference;
import org.parsleycart.model.Rollout;

/**
 * The urgent facts that a daemon knows, the overriding one for each subject. Safe for use by
 * several threads.
 */
public final class UrgentFacts {
  private volatile Map<ResourceReference, UrgentFact> facts = Map.of();

  // -- updates

  /** Merges facts; returns those that changed what is known. */
  public synchronized List<UrgentFact> merge(List<UrgentFact> received) {
    requireNonNull(received, "received is null");
    List<UrgentFact> changed = received.stream().filter(this::overridesHeldFact).toList();
    if (!changed.isEmpty()) {
      Map<ResourceReference, UrgentFact> next = new HashMap<>(facts);
      changed.forEach(
          fact -> next.merge(fact.subject(), fact, (held, other) -> later(held, other)));
      facts = Map.copyOf(next);
    }
    return changed;
  }

  /** Decides that a zone takes no new work, or takes it again, without the platform. */
  public UrgentFact recordZoneDecision(
      Configuration configuration, String zone, boolean restrictive, String reason) {
    return recordDecision(zoneReference(zone), configuration.version(), restrictive, reason);
  }

  /** Condemns the version of a rollout; nothing takes this back. */
  public UrgentFact condemn(Rollout rollout, String reason) {
    return recordDecision(rollout.reference(), rollout.startedAt(), true, reason);
  }

  private synchronized UrgentFact recordDecision(
      ResourceReference subject, long epoch, boolean restrictive, String reason) {
    Optional<UrgentFact> held = find(subject).filter(fact -> fact.epoch() >= epoch);
    long counter = held.map(UrgentFact::counter).orElse(0L) + 1;
    long actualEpoch = held.map(UrgentFact::epoch).orElse(epoch);
    UrgentFact fact = new UrgentFact(subject, actualEpoch, counter, restrictive, reason);
    merge(List.of(fact));
    return fact;
  }

  private boolean overridesHeldFact(UrgentFact fact) {
    UrgentFact held = facts.get(fact.subject());
    return held == null || fact.overrides(held);
  }

  private static UrgentFact later(UrgentFact one, UrgentFact other) {
    return other.overrides(one) ? other : one;
  }

  // -- queries

  /** Returns the fact about a subject. */
  public Optional<UrgentFact> find(ResourceReference subject) {
    return Optional.ofNullable(facts.get(subject));
  }

  /** Returns all facts. */
  public List<UrgentFact> all() {
    return List.copyOf(facts.values());
  }

  /** Returns the fact about a zone that the configuration has not yet superseded. */
  public Optional<UrgentFact> pendingZoneFact(Configuration configuration, String zone) {
    return find(zoneReference(zone))
        .filter(fact -> fact.epoch() >= configuration.zoneChangeVersion(zone));
  }

  /** Returns whether a zone takes no new work, by a fact or by the configuration. */
  public boolean isWithdrawn(Configuration configuration, String zone) {
    return pendingZoneFact(configuration, zone)
        .map(UrgentFact::restrictive)
        .orElseGet(() -> configuration.isWithdrawn(zone));
  }

  /** Returns the condemnation of the version of a rollout. */
  public Optional<UrgentFact> condemnation(Rollout rollout) {
    return find(rollout.reference()).filter(fact -> fact.epoch() >= rollout.startedAt());
  }

  private static ResourceReference zoneReference(String zone) {
    return new ResourceReference(ResourceKind.AVAILABILITY_ZONE, zone);
  }
}
