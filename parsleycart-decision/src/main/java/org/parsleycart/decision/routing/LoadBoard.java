package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** The loads of all upstreams that one entry knows. Safe for use by several threads. */
public final class LoadBoard {
  private final ConcurrentHashMap<String, UpstreamLoad> loads = new ConcurrentHashMap<>();

  // -- queries

  /** Returns the load of an upstream, made on first use. */
  public UpstreamLoad of(Candidate candidate) {
    requireNonNull(candidate, "candidate is null");
    UpstreamLoad held = loads.get(candidate.identifier());
    return held != null
        ? held
        : loads.computeIfAbsent(
            candidate.identifier(), unused -> new UpstreamLoad(candidate.upstream().slots()));
  }

  // -- updates

  /** Forgets upstreams that have left the directory. */
  public void retain(UpstreamDirectory directory) {
    Set<String> present =
        directory.all().map(Candidate::identifier).collect(Collectors.toUnmodifiableSet());
    loads.keySet().retainAll(present);
  }
}
