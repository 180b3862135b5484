package org.parsleycart.decision.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A queue of identifiers whose records are still to be disseminated, the least often sent first.
 *
 * <p>Each record is attached to a number of messages that grows with the logarithm of the fleet
 * size. This reaches all members with high probability. Anti-entropy by digests repairs the rest.
 *
 * @param <K> the type of the identifiers
 */
final class DisseminationQueue<K> {
  private static final int EXTRA_TRANSMISSIONS = 3;

  private final Map<K, Integer> transmissions = new HashMap<>();

  // -- updates

  void add(K identifier) {
    transmissions.put(identifier, 0);
  }

  /**
   * Counts one transmission and removes the identifier when the limit for the fleet size is
   * reached.
   */
  void recordTransmission(K identifier, int fleetSize) {
    int limit = transmissionLimit(fleetSize);
    transmissions.computeIfPresent(
        identifier,
        (key, previous) -> Optional.of(previous + 1).filter(total -> total < limit).orElse(null));
  }

  // -- queries

  /** Returns at most {@code count} identifiers, the least often sent first. */
  List<K> leastSent(int count) {
    if (transmissions.size() <= 1) {
      return new ArrayList<>(transmissions.keySet());
    }
    return transmissions.entrySet().stream()
        .sorted(Map.Entry.comparingByValue())
        .limit(count)
        .map(Map.Entry::getKey)
        .toList();
  }

  int size() {
    return transmissions.size();
  }

  static int transmissionLimit(int fleetSize) {
    int logarithm = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, fleetSize));
    return logarithm + EXTRA_TRANSMISSIONS;
  }
}
