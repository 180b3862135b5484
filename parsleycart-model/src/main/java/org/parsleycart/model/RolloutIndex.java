package org.parsleycart.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The rollouts of one configuration, found by the service that they move. */
final class RolloutIndex {
  private final Map<String, Rollout> active = new HashMap<>();
  private final Map<String, Rollout> done = new HashMap<>();
  private final Map<String, Set<String>> heldBack = new HashMap<>();

  // -- construction

  private RolloutIndex() {}

  /** Returns the index of the rollouts of a configuration; of several, the first by name counts. */
  static RolloutIndex of(Configuration configuration) {
    RolloutIndex index = new RolloutIndex();
    configuration
        .rollouts()
        .forEach(
            rollout ->
                rollout
                    .target(configuration)
                    .ifPresent(service -> index.add(service.name(), rollout)));
    return index;
  }

  private void add(String service, Rollout rollout) {
    if (rollout.phase().isActive()) {
      active.putIfAbsent(service, rollout);
    }
    if (rollout.phase().isVersionHeldBack()) {
      heldBack.computeIfAbsent(service, unused -> new HashSet<>()).add(rollout.version());
    } else {
      done.putIfAbsent(service, rollout);
    }
  }

  // -- queries

  Optional<Rollout> active(String service) {
    return Optional.ofNullable(active.get(service));
  }

  Optional<Rollout> completed(String service) {
    return Optional.ofNullable(done.get(service));
  }

  Set<String> heldBackVersions(String service) {
    return heldBack.getOrDefault(service, Set.of());
  }
}
