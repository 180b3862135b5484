package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The loads of all upstreams known to one entry daemon. Thread-safe. */
public final class UpstreamLoadTable {
  private final ConcurrentHashMap<String, UpstreamLoad> loadsByUpstream = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, ServiceLoad> loadsByService = new ConcurrentHashMap<>();

  // -- queries

  /** Returns the load of an upstream and creates it on first use. */
  public UpstreamLoad of(Candidate candidate) {
    requireNonNull(candidate, "candidate is null");
    UpstreamLoad load = loadsByUpstream.get(candidate.identifier());
    return load != null
        ? load
        : loadsByUpstream.computeIfAbsent(
            candidate.identifier(),
            identifier -> new UpstreamLoad(identifier, ofService(candidate)));
  }

  /** Returns the load of an upstream, empty if nothing has been recorded of it. */
  Optional<UpstreamLoad> find(Candidate candidate) {
    return Optional.ofNullable(loadsByUpstream.get(candidate.identifier()));
  }

  /** Returns what the reports of all upstreams of the service of a candidate show. */
  ServiceLoad ofService(Candidate candidate) {
    String service = candidate.upstream().service();
    ServiceLoad load = loadsByService.get(service);
    return load != null
        ? load
        : loadsByService.computeIfAbsent(service, unused -> new ServiceLoad());
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
    copy.loadsByService.putAll(loadsByService);
    return copy;
  }

  // -- updates

  /**
   * Removes the loads of all upstreams except the given ones. An upstream that reappears gets a new
   * load because it may have restarted. The loads of leaving upstreams are kept: one of them may be
   * announced again by a daemon that has restarted.
   */
  public void retainOnly(Stream<Candidate> candidates, Instant now) {
    List<Candidate> current = candidates.toList();
    Set<String> retained = current.stream().map(Candidate::identifier).collect(Collectors.toSet());
    Set<String> services =
        current.stream()
            .map(candidate -> candidate.upstream().service())
            .collect(Collectors.toSet());
    loadsByService.keySet().retainAll(services);
    loadsByUpstream
        .entrySet()
        .removeIf(entry -> !retained.contains(entry.getKey()) && !entry.getValue().isLeaving(now));
  }
}
