package org.parsleycart.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The rollouts of one configuration, indexed by service name. */
final class RolloutIndex {
  private final Map<String, Rollout> activeByService = new HashMap<>();
  private final Map<String, Rollout> completedByService = new HashMap<>();
  private final Map<String, Set<String>> heldBackByService = new HashMap<>();

  // -- construction

  private RolloutIndex() {}

  /** Creates the index. Of several active or completed rollouts of a service, the first is used. */
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
      activeByService.putIfAbsent(service, rollout);
    }
    if (rollout.phase().isVersionHeldBack()) {
      heldBackByService.computeIfAbsent(service, unused -> new HashSet<>()).add(rollout.version());
    } else {
      completedByService.putIfAbsent(service, rollout);
    }
  }

  // -- queries

  Optional<Rollout> active(String service) {
    return Optional.ofNullable(activeByService.get(service));
  }

  Optional<Rollout> completed(String service) {
    return Optional.ofNullable(completedByService.get(service));
  }

  Set<String> heldBackVersions(String service) {
    return heldBackByService.getOrDefault(service, Set.of());
  }
}
