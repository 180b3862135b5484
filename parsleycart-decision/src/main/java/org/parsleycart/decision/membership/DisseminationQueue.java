package org.parsleycart.decision.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The identifiers of records that still have to be passed on, those sent least first.
 *
 * <p>Each record rides on a number of messages that grows with the logarithm of the fleet, which
 * reaches all members with high probability; digest exchange repairs the rest.
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

  /** Counts a transmission to a fleet of the given size; the last one takes the record out. */
  void recordTransmission(K identifier, int fleetSize) {
    int limit = transmissionLimit(fleetSize);
    transmissions.computeIfPresent(
        identifier, (key, sent) -> Optional.of(sent + 1).filter(next -> next < limit).orElse(null));
  }

  // -- queries

  /** Returns up to the given number of identifiers, those sent least first. */
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
