package org.parsleycart.decision.routing;

import java.util.List;
import java.util.stream.Stream;

/**
 * The upstreams of one version of one service, seen from one zone.
 *
 * @param near those in the zone
 * @param far those in other zones
 */
public record CandidatePool(List<Candidate> near, List<Candidate> far) {
  private static final CandidatePool EMPTY = new CandidatePool(List.of(), List.of());

  // -- construction

  public CandidatePool {
    near = List.copyOf(near);
    far = List.copyOf(far);
  }

  /** Returns the pool without upstreams. */
  public static CandidatePool empty() {
    return EMPTY;
  }

  // -- queries

  /** Returns whether there is no upstream. */
  public boolean isEmpty() {
    return near.isEmpty() && far.isEmpty();
  }

  /** Returns the number of upstreams. */
  public int size() {
    return near.size() + far.size();
  }

  /** Returns all upstreams. */
  public Stream<Candidate> all() {
    return Stream.concat(near.stream(), far.stream());
  }
}
