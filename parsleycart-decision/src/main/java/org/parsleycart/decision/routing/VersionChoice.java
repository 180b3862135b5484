package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Service;

/**
 * The version that takes a call and the one that may stand in for it.
 *
 * @param version the version chosen by share
 * @param standIn the version to use when the chosen one has no upstream; the new version of a
 *     rollout never stands in for the old one before it has the full share
 */
public record VersionChoice(String version, Optional<String> standIn) {

  // -- construction

  public VersionChoice {
    requireNonNull(version, "version is null");
    requireNonNull(standIn, "standIn is null");
  }

  /**
   * Chooses the version of a call.
   *
   * @param configuration the configuration in force
   * @param service the service called
   * @param facts the condemnations known
   * @param random the source of choices
   */
  public static VersionChoice of(
      Configuration configuration, Service service, UrgentFacts facts, RandomGenerator random) {
    Optional<Rollout> rollout =
        configuration
            .activeRollout(service.name())
            .filter(each -> facts.condemnation(each).isEmpty());
    if (rollout.isEmpty()) {
      return new VersionChoice(service.version(), Optional.empty());
    }
    Rollout active = rollout.get();
    boolean isNew = random.nextInt(Rollout.FULL_SHARE_PER_MILLE) < active.sharePerMille();
    if (isNew) {
      return new VersionChoice(active.version(), Optional.of(service.version()));
    }
    Optional<String> standIn =
        active.phase() == RolloutPhase.SOAKING ? Optional.of(active.version()) : Optional.empty();
    return new VersionChoice(service.version(), standIn);
  }
}
