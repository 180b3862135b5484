package org.parsleycart.decision.routing;

import java.util.List;
import java.util.stream.Stream;

/**
 * The candidates for the calls of one service, as seen from one zone.
 *
 * @param localZone the candidates in that zone
 * @param otherZones the candidates in all other zones
 */
public record CandidatePool(List<Candidate> localZone, List<Candidate> otherZones) {
  private static final CandidatePool EMPTY = new CandidatePool(List.of(), List.of());

  // -- construction

  public CandidatePool {
    localZone = List.copyOf(localZone);
    otherZones = List.copyOf(otherZones);
  }

  public static CandidatePool empty() {
    return EMPTY;
  }

  // -- queries

  public boolean isEmpty() {
    return localZone.isEmpty() && otherZones.isEmpty();
  }

  public int size() {
    return localZone.size() + otherZones.size();
  }

  /** Returns the candidates of all zones, those in the local zone first. */
  public Stream<Candidate> all() {
    return Stream.concat(localZone.stream(), otherZones.stream());
  }
}
