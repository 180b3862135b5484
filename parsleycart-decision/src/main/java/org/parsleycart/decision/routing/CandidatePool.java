package org.parsleycart.decision.routing;

import java.util.List;
import java.util.stream.Stream;

/**
 * The upstreams of one version of one service, seen from one zone.
 *
 * @param localZone those in the zone
 * @param otherZones those in other zones
 */
public record CandidatePool(List<Candidate> localZone, List<Candidate> otherZones) {
  private static final CandidatePool EMPTY = new CandidatePool(List.of(), List.of());

  // -- construction

  public CandidatePool {
    localZone = List.copyOf(localZone);
    otherZones = List.copyOf(otherZones);
  }

  /** Returns the pool without upstreams. */
  public static CandidatePool empty() {
    return EMPTY;
  }

  // -- queries

  /** Returns whether there is no upstream. */
  public boolean isEmpty() {
    return localZone.isEmpty() && otherZones.isEmpty();
  }

  /** Returns the number of upstreams. */
  public int size() {
    return localZone.size() + otherZones.size();
  }

  /** Returns all upstreams. */
  public Stream<Candidate> all() {
    return Stream.concat(localZone.stream(), otherZones.stream());
  }
}
