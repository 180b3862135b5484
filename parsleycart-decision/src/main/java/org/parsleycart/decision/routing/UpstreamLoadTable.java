package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The loads of all upstreams known to one entry daemon. Thread-safe. */
public final class UpstreamLoadTable {
  private final ConcurrentHashMap<String, UpstreamLoad> loadsByUpstream = new ConcurrentHashMap<>();

  // -- queries

  /** Returns the load of an upstream and creates it on first use. */
  public UpstreamLoad of(Candidate candidate) {
    requireNonNull(candidate, "candidate is null");
    UpstreamLoad load = loadsByUpstream.get(candidate.identifier());
    return load != null
        ? load
        : loadsByUpstream.computeIfAbsent(candidate.identifier(), unused -> new UpstreamLoad());
  }

  /** Returns the number of upstreams that have a load. */
  int size() {
    return loadsByUpstream.size();
  }

  /**
   * Returns a table with the same loads for trial decisions. Loads that are created in it are not
   * created here.
   */
  UpstreamLoadTable copy() {
    UpstreamLoadTable copy = new UpstreamLoadTable();
    copy.loadsByUpstream.putAll(loadsByUpstream);
    return copy;
  }

  // -- updates

  /**
   * Removes the loads of all upstreams except the given ones. An upstream that reappears gets a new
   * load because it may have restarted. The loads of leaving upstreams are kept: one of them may be
   * announced again by a daemon that has restarted.
   */
  public void retainOnly(Stream<Candidate> candidates, Instant now) {
    Set<String> retained = candidates.map(Candidate::identifier).collect(Collectors.toSet());
    loadsByUpstream
        .entrySet()
        .removeIf(entry -> !retained.contains(entry.getKey()) && !entry.getValue().isLeaving(now));
  }
}
