package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;

/**
 * The upstreams that may receive new calls, by service and version. Immutable.
 *
 * <p>Upstreams are omitted if they are draining, if their zone is withdrawn, or if their daemon is
 * suspected, is dead or has left.
 */
public final class UpstreamDirectory {
  private static final UpstreamDirectory EMPTY = new UpstreamDirectory(Map.of());

  private final Map<VersionKey, CandidatePool> pools;
  private final Map<SelectionKey, CandidatePool> combinedPools = new ConcurrentHashMap<>();

  private record VersionKey(String service, String version) {}

  private record SelectionKey(String service, VersionSelector versions) {}

  // -- construction

  private UpstreamDirectory(Map<VersionKey, CandidatePool> pools) {
    this.pools = pools;
  }

  public static UpstreamDirectory empty() {
    return EMPTY;
  }

  /**
   * Builds the directory from the membership list.
   *
   * @param members all known members
   * @param ownZone the zone of the daemon that routes calls
   * @param isZoneWithdrawn whether a zone is withdrawn and accepts no new calls
   */
  public static UpstreamDirectory of(
      Stream<MemberRecord> members, String ownZone, Predicate<String> isZoneWithdrawn) {
    requireNonNull(members, "members is null");
    requireNonNull(ownZone, "ownZone is null");
    requireNonNull(isZoneWithdrawn, "isZoneWithdrawn is null");
    Map<VersionKey, List<Candidate>> localZone = new HashMap<>();
    Map<VersionKey, List<Candidate>> otherZones = new HashMap<>();
    members
        .filter(member -> member.status() == MemberStatus.ALIVE)
        .filter(member -> !isZoneWithdrawn.test(member.zone()))
        .flatMap(UpstreamDirectory::candidates)
        .forEach(
            candidate -> {
              VersionKey key =
                  new VersionKey(candidate.upstream().service(), candidate.upstream().version());
              Map<VersionKey, List<Candidate>> zoneGroup =
                  candidate.zone().equals(ownZone) ? localZone : otherZones;
              zoneGroup.computeIfAbsent(key, unused -> new ArrayList<>()).add(candidate);
            });
    Map<VersionKey, CandidatePool> pools = new HashMap<>();
    Stream.concat(localZone.keySet().stream(), otherZones.keySet().stream())
        .distinct()
        .forEach(
            key ->
                pools.put(
                    key,
                    new CandidatePool(
                        localZone.getOrDefault(key, List.of()),
                        otherZones.getOrDefault(key, List.of()))));
    return new UpstreamDirectory(Map.copyOf(pools));
  }

  private static Stream<Candidate> candidates(MemberRecord member) {
    return member.upstreams().stream()
        .filter(upstream -> !upstream.draining())
        .map(
            upstream ->
                new Candidate(upstream, member.identifier(), member.zone(), member.callAddress()));
  }

  // -- queries

  /** Returns the upstreams of one version of a service, an empty pool if there are none. */
  public CandidatePool pool(String service, String version) {
    return pools.getOrDefault(new VersionKey(service, version), CandidatePool.empty());
  }

  /** Returns the upstreams of the selected versions of a service. The combined pools are cached. */
  public CandidatePool pool(String service, VersionSelector versions) {
    requireNonNull(service, "service is null");
    requireNonNull(versions, "versions is null");
    if (versions instanceof VersionSelector.Only only) {
      return pool(service, only.version());
    }
    return combinedPools.computeIfAbsent(new SelectionKey(service, versions), this::combine);
  }

  private CandidatePool combine(SelectionKey key) {
    List<CandidatePool> matching =
        pools.entrySet().stream()
            .filter(entry -> entry.getKey().service().equals(key.service()))
            .filter(entry -> key.versions().matches(entry.getKey().version()))
            .map(Map.Entry::getValue)
            .toList();
    return new CandidatePool(
        matching.stream().flatMap(pool -> pool.localZone().stream()).toList(),
        matching.stream().flatMap(pool -> pool.otherZones().stream()).toList());
  }

  public Stream<Candidate> all() {
    return pools.values().stream().flatMap(CandidatePool::all);
  }
}
