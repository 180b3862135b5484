package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The loads of all upstreams that one entry knows. Safe for use by several threads. */
public final class UpstreamLoadTable {
  private final ConcurrentHashMap<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

  // -- queries

  /** Returns the load of an upstream, made on first use. */
  public UpstreamLoad of(Candidate candidate) {
    requireNonNull(candidate, "candidate is null");
    UpstreamLoad held = loads.get(candidate.identifier());
    return held != null
        ? held
        : loads.computeIfAbsent(candidate.identifier(), unused -> new UpstreamLoad());
  }

  // -- updates

  /** Forgets all upstreams but those given; one that comes back may have started anew. */
  public void retainOnly(Stream<Candidate> candidates) {
    loads.keySet().retainAll(candidates.map(Candidate::identifier).collect(Collectors.toSet()));
  }
}
