package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The loads of all upstreams that one entry knows. Safe for use by several threads. */
public final class UpstreamLoadTable {
  private final ConcurrentHashMap<String, UpstreamLoad> loadsByUpstream = new ConcurrentHashMap<>();

  // -- queries

  /** Returns the load of an upstream, made on first use. */
  public UpstreamLoad of(Candidate candidate) {
    requireNonNull(candidate, "candidate is null");
    UpstreamLoad load = loadsByUpstream.get(candidate.identifier());
    return load != null
        ? load
        : loadsByUpstream.computeIfAbsent(candidate.identifier(), unused -> new UpstreamLoad());
  }

  // -- updates

  /** Forgets all upstreams but those given; one that comes back may have started anew. */
  public void retainOnly(Stream<Candidate> candidates) {
    loadsByUpstream
        .keySet()
        .retainAll(candidates.map(Candidate::identifier).collect(Collectors.toSet()));
  }
}
