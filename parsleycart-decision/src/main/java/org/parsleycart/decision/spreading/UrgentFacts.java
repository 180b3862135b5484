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
 * The urgent facts that a daemon holds. For each subject it keeps the fact that overrides the
 * others. Thread-safe.
 */
public final class UrgentFacts {
  private volatile Map<ResourceReference, UrgentFact> facts = Map.of();

  // -- updates

  /** Merges received facts and returns those that are new or override an existing fact. */
  public synchronized List<UrgentFact> merge(List<UrgentFact> received) {
    requireNonNull(received, "received is null");
    List<UrgentFact> changed = received.stream().filter(this::isNewOrOverridesExisting).toList();
    if (!changed.isEmpty()) {
      Map<ResourceReference, UrgentFact> next = new HashMap<>(facts);
      changed.forEach(
          fact ->
              next.merge(fact.subject(), fact, (existing, other) -> overriding(existing, other)));
      facts = Map.copyOf(next);
    }
    return changed;
  }

  /**
   * Records a decision, made without the platform, to withdraw a zone or to return it to service.
   *
   * @param restrictive whether the zone is withdrawn
   */
  public UrgentFact recordZoneDecision(
      Configuration configuration, String zone, boolean restrictive, String reason) {
    return recordDecision(zoneReference(zone), configuration.version(), restrictive, reason);
  }

  /** Records that the version of a rollout is rejected. This cannot be undone. */
  public UrgentFact reject(Rollout rollout, String reason) {
    return recordDecision(rollout.reference(), rollout.startedAt(), true, reason);
  }

  private synchronized UrgentFact recordDecision(
      ResourceReference subject, long epoch, boolean restrictive, String reason) {
    Optional<UrgentFact> existing = find(subject).filter(fact -> fact.epoch() >= epoch);
    long counter = existing.map(UrgentFact::counter).orElse(0L) + 1;
    long actualEpoch = existing.map(UrgentFact::epoch).orElse(epoch);
    UrgentFact fact = new UrgentFact(subject, actualEpoch, counter, restrictive, reason);
    merge(List.of(fact));
    return fact;
  }

  private boolean isNewOrOverridesExisting(UrgentFact fact) {
    UrgentFact existing = facts.get(fact.subject());
    return existing == null || fact.overrides(existing);
  }

  private static UrgentFact overriding(UrgentFact one, UrgentFact other) {
    return other.overrides(one) ? other : one;
  }

  // -- queries

  /** Returns the fact about a subject, or empty when there is none. */
  public Optional<UrgentFact> find(ResourceReference subject) {
    return Optional.ofNullable(facts.get(subject));
  }

  public List<UrgentFact> all() {
    return List.copyOf(facts.values());
  }

  /**
   * Returns the fact about a zone, or empty when there is none or the configuration superseded it.
   */
  public Optional<UrgentFact> pendingZoneFact(Configuration configuration, String zone) {
    return find(zoneReference(zone))
        .filter(fact -> fact.epoch() >= configuration.zoneChangeVersion(zone));
  }

  /** Returns whether a zone is withdrawn, by a pending fact or else by the configuration. */
  public boolean isWithdrawn(Configuration configuration, String zone) {
    return pendingZoneFact(configuration, zone)
        .map(UrgentFact::restrictive)
        .orElseGet(() -> configuration.isWithdrawn(zone));
  }

  /** Returns the fact that rejects the version of a rollout, or empty when there is none. */
  public Optional<UrgentFact> rejection(Rollout rollout) {
    return find(rollout.reference()).filter(fact -> fact.epoch() >= rollout.startedAt());
  }

  private static ResourceReference zoneReference(String zone) {
    return new ResourceReference(ResourceKind.AVAILABILITY_ZONE, zone);
  }
}
