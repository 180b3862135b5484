package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Service;

/**
 * The versions that may receive a call, and the versions to fall back to.
 *
 * @param versions the versions selected by traffic share
 * @param fallback the versions to use if the selected ones have no upstream; includes the new
 *     version of a rollout in place of the old one only after it has reached the full share
 */
public record VersionChoice(VersionSelector versions, Optional<VersionSelector> fallback) {

  // -- construction

  public VersionChoice {
    requireNonNull(versions, "versions is null");
    requireNonNull(fallback, "fallback is null");
  }

  /**
   * Selects the versions for a call.
   *
   * @param configuration the active configuration
   * @param service the called service
   * @param facts the known urgent facts; a rollout that they reject is ignored
   * @param random the source of the random draw between old and new version
   */
  public static VersionChoice of(
      Configuration configuration, Service service, UrgentFacts facts, RandomGenerator random) {
    Optional<Rollout> rollout =
        configuration
            .activeRollout(service.name())
            .filter(candidate -> facts.rejection(candidate).isEmpty());
    if (rollout.isEmpty()) {
      return withoutRollout(configuration, service);
    }
    Rollout active = rollout.get();
    VersionSelector newVersion = VersionSelector.only(active.version());
    VersionSelector oldVersion = currentVersions(configuration, service);
    boolean isNew = random.nextInt(Rollout.FULL_SHARE_PER_MILLE) < active.sharePerMille();
    if (isNew) {
      return new VersionChoice(newVersion, Optional.of(oldVersion));
    }
    boolean isNewVersionFallback = active.phase() == RolloutPhase.SOAKING;
    return new VersionChoice(
        oldVersion, isNewVersionFallback ? Optional.of(newVersion) : Optional.empty());
  }

  /**
   * Chooses an upstream among the selected versions, or among the fallback if that finds none.
   *
   * @param choose chooses an upstream of a pool, empty if it finds none
   */
  public Optional<Candidate> firstOf(
      UpstreamDirectory directory,
      String service,
      Function<CandidatePool, Optional<Candidate>> choose) {
    return choose
        .apply(directory.pool(service, versions))
        .or(() -> fallback.flatMap(other -> choose.apply(directory.pool(service, other))));
  }

  private static VersionChoice withoutRollout(Configuration configuration, Service service) {
    VersionSelector currentVersions = currentVersions(configuration, service);
    return configuration
        .completedVersion(service.name())
        .filter(completedVersion -> service.version().isEmpty())
        .map(
            completedVersion ->
                new VersionChoice(
                    VersionSelector.only(completedVersion), Optional.of(currentVersions)))
        .orElseGet(() -> new VersionChoice(currentVersions, Optional.empty()));
  }

  /**
   * Returns the current version of the service. If the configuration names none, returns all
   * versions except those that a rollout holds back.
   */
  private static VersionSelector currentVersions(Configuration configuration, Service service) {
    return service
        .version()
        .map(VersionSelector::only)
        .orElseGet(() -> VersionSelector.allExcept(configuration.heldBackVersions(service.name())));
  }
}
