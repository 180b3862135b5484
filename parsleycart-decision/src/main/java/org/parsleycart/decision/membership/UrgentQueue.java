package org.parsleycart.decision.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.parsleycart.model.ResourceReference;

/** The subjects of urgent facts that still have to be passed on. */
final class UrgentQueue {
  private static final int FACTS_PER_MESSAGE = 4;

  private final Map<ResourceReference, Integer> transmissions = new HashMap<>();

  void add(ResourceReference subject) {
    transmissions.put(subject, 0);
  }

  List<ResourceReference> take(int fleetSize) {
    int limit = DisseminationQueue.transmissionLimit(fleetSize);
    List<ResourceReference> taken =
        transmissions.entrySet().stream()
            .sorted(Map.Entry.comparingByValue())
            .limit(FACTS_PER_MESSAGE)
            .map(Map.Entry::getKey)
            .toList();
    taken.forEach(
        subject ->
            transmissions.compute(
                subject, (key, sent) -> sent + 1 < limit ? Integer.valueOf(sent + 1) : null));
    return taken;
  }
}
