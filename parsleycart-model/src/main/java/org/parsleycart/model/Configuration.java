package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Problem;

/**
 * One version of the whole configuration: an immutable snapshot in which every reference closes.
 *
 * <pre>{@code
 * Either<List<Violation>, Configuration> next = Configuration.empty().apply(change);
 * }</pre>
 */
public final class Configuration {
  private static final Configuration EMPTY =
      new Configuration(0, new EnumMap<>(ResourceKind.class), List.of(), Map.of());

  /** How many change identifiers a snapshot remembers, so that a repeat is recognized. */
  static final int REMEMBERED_CHANGES = 512;

  private final long version;
  private final Map<ResourceKind, SortedMap<String, Resource>> resources;
  private final List<AcceptedChange> recentChanges;
  private final Map<String, Long> zoneChanges;
  private final RouteIndex routeIndex;
  private final Set<String> withdrawnZones;
  private final RolloutIndex rolloutIndex;
  private final Optional<Duration> shortestDeadline;
  private final CallerLimits callerLimits;

  /**
   * The version that a change became.
   *
   * @param identifier the identifier of the change
   * @param version the version
   */
  public record AcceptedChange(String identifier, long version) {}

  // -- construction

  Configuration(
      long version,
      Map<ResourceKind, SortedMap<String, Resource>> resources,
      List<AcceptedChange> recentChanges,
      Map<String, Long> earlierZoneChanges) {
    this.version = version;
    this.resources = resources;
    this.recentChanges = recentChanges;
    this.zoneChanges = Map.copyOf(earlierZoneChanges);
    this.routeIndex = RouteIndex.of(routes());
    this.withdrawnZones = findWithdrawnZones();
    this.rolloutIndex = RolloutIndex.of(this);
    this.shortestDeadline =
        section(ResourceKind.CONTRACT, Contract.class).stream()
            .map(Contract::deadline)
            .min(Comparator.naturalOrder());
    this.callerLimits =
        section(ResourceKind.CALLER_LIMITS, CallerLimits.class).stream()
            .findFirst()
            .orElseGet(CallerLimits::none);
  }

  /** Returns version 0, which holds nothing. */
  public static Configuration empty() {
    return EMPTY;
  }

  /**
   * Reads a snapshot from its MessagePack form.
   *
   * @param bytes the form that {@link #toBytes()} gives
   * @return the snapshot, or the faults of the bytes
   */
  public static Either<List<Problem>, Configuration> from(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    return ConfigurationCodec.read(bytes);
  }

  /**
   * Builds a version that another writer stated as a whole.
   *
   * @param version the version, at least 1
   * @param stated the resources; of two with one kind and name the later counts
   * @return the version, or every violation in it
   */
  public static Either<List<Violation>, Configuration> of(
      long version, Collection<? extends Resource> stated) {
    requireNonNull(stated, "stated is null");
    Map<ResourceKind, SortedMap<String, Resource>> resources = new EnumMap<>(ResourceKind.class);
    stated.forEach(resource -> put(resources, resource));
    Configuration result = new Configuration(version, resources, List.of(), Map.of());
    List<Violation> violations =
        result.allResources().flatMap(resource -> resource.violations(result)).toList();
    return violations.isEmpty() ? Either.right(result) : Either.left(violations);
  }

  /**
   * Builds a version that another writer stated as a whole, told as what differs from this one.
   *
   * @param newVersion the version, at least 1
   * @param difference what {@link ConfigurationChange#between} gave
   * @return the version, or every violation in it
   */
  public Either<List<Violation>, Configuration> withDifference(
      long newVersion, ConfigurationChange difference) {
    requireNonNull(difference, "difference is null");
    Set<ResourceReference> touched = difference.affectedResources();
    Stream<Resource> kept =
        allResources().filter(resource -> !touched.contains(resource.reference()));
    return of(newVersion, Stream.concat(kept, difference.upserts().stream()).toList());
  }

  /**
   * Applies a change as a whole.
   *
   * @param change the change
   * @return the next version, or every violation in the configuration that would result
   */
  public Either<List<Violation>, Configuration> apply(ConfigurationChange change) {
    requireNonNull(change, "change is null");
    Map<ResourceKind, SortedMap<String, Resource>> next = new EnumMap<>(resources);
    change.affectedResources().stream()
        .map(ResourceReference::kind)
        .distinct()
        .forEach(kind -> next.put(kind, new TreeMap<>(section(kind))));
    List<Violation> violations = new ArrayList<>();
    for (ResourceReference removal : change.removals()) {
      if (next.get(removal.kind()).remove(removal.name()) == null) {
        violations.add(new Violation(removal, "a removal of nothing", "a resource that exists"));
      }
    }
    change.upserts().forEach(resource -> put(next, resource));
    List<AcceptedChange> remembered = remember(change.identifier(), version + 1);
    Configuration unstamped = new Configuration(version + 1, next, remembered, zoneChanges);
    Configuration result = unstamped.withZoneChangesSince(this);
    result.allResources().flatMap(resource -> resource.violations(result)).forEach(violations::add);
    return violations.isEmpty() ? Either.right(result) : Either.left(violations);
  }

  private Configuration withZoneChangesSince(Configuration earlier) {
    if (earlier.withdrawnZones.equals(withdrawnZones)) {
      return this;
    }
    Map<String, Long> changes = new TreeMap<>(zoneChanges);
    Stream.concat(withdrawnZones.stream(), earlier.withdrawnZones.stream())
        .filter(zone -> withdrawnZones.contains(zone) != earlier.withdrawnZones.contains(zone))
        .forEach(zone -> changes.put(zone, version));
    return new Configuration(version, resources, recentChanges, changes);
  }

  static void put(Map<ResourceKind, SortedMap<String, Resource>> target, Resource resource) {
    target.computeIfAbsent(resource.kind(), kind -> new TreeMap<>()).put(resource.name(), resource);
  }

  private List<AcceptedChange> remember(String identifier, long acceptedVersion) {
    int skipped = Math.max(0, recentChanges.size() + 1 - REMEMBERED_CHANGES);
    List<AcceptedChange> recent =
        new ArrayList<>(recentChanges.subList(skipped, recentChanges.size()));
    recent.add(new AcceptedChange(identifier, acceptedVersion));
    return Collections.unmodifiableList(recent);
  }

  private Set<String> findWithdrawnZones() {
    Collection<Withdrawal> withdrawals = section(ResourceKind.WITHDRAWAL, Withdrawal.class);
    return zones().stream()
        .filter(
            zone ->
                withdrawals.stream()
                    .anyMatch(each -> each.zones().matches(zone.selectableLabels())))
        .map(AvailabilityZone::name)
        .collect(Collectors.toUnmodifiableSet());
  }

  // -- queries

  /** Returns the version, counted from 1; 0 is the empty configuration. */
  public long version() {
    return version;
  }

  /** Returns the version that the change with the given identifier became, if remembered. */
  public Optional<Long> versionOf(String changeIdentifier) {
    return recentChanges.stream()
        .filter(change -> change.identifier().equals(changeIdentifier))
        .map(AcceptedChange::version)
        .findFirst();
  }

  /** Returns the route of any host with the longest prefix that covers the path. */
  public Optional<Route> routeFor(String path, Map<String, String> daemonLabels) {
    return routeFor(Optional.empty(), path, daemonLabels);
  }

  /**
   * Returns the route with the longest prefix that covers the path, for the given daemon.
   *
   * @param host the host that the request names, without its port
   * @param path the path of the request
   * @param daemonLabels the labels of the daemon that took the request
   */
  public Optional<Route> routeFor(
      Optional<String> host, String path, Map<String, String> daemonLabels) {
    return routeIndex.find(host, path, daemonLabels);
  }

  /** Returns the first route by name that has the prefix and the daemons of the given one. */
  Optional<Route> routeWithSameKey(Route route) {
    return routeIndex.findWithSameKey(route);
  }

  /** Returns whether operators have taken the zone out of service. */
  public boolean isWithdrawn(String zone) {
    return withdrawnZones.contains(zone);
  }

  /** Returns the names of the zones that operators have taken out of service. */
  public Set<String> withdrawnZones() {
    return withdrawnZones;
  }

  /** Returns the version at which the zone was last withdrawn or returned, 0 if never. */
  public long zoneChangeVersion(String zone) {
    return zoneChanges.getOrDefault(zone, 0L);
  }

  /** Returns the rollout that moves the service now. */
  public Optional<Rollout> activeRollout(String service) {
    return rolloutIndex.active(service);
  }

  /** Returns the version that a completed rollout of the service brought in. */
  public Optional<String> completedVersion(String service) {
    return rolloutIndex.completed(service).map(Rollout::version);
  }

  /** Returns the versions of a service that take no calls but those a rollout gives them. */
  public Set<String> heldBackVersions(String service) {
    return rolloutIndex.heldBackVersions(service);
  }

  /** Returns the service with the given name. */
  public Optional<Service> service(String name) {
    return find(ResourceKind.SERVICE, name, Service.class);
  }

  /** Returns the contract with the given name. */
  public Optional<Contract> contract(String name) {
    return find(ResourceKind.CONTRACT, name, Contract.class);
  }

  /** Returns the shortest deadline of all contracts. */
  public Optional<Duration> shortestDeadline() {
    return shortestDeadline;
  }

  /** Returns the contract of the route with the given name. */
  public Optional<Contract> contractOfRoute(String routeName) {
    return route(routeName).flatMap(route -> contract(route.contract()));
  }

  /** Returns the route with the given name. */
  public Optional<Route> route(String name) {
    return find(ResourceKind.ROUTE, name, Route.class);
  }

  /** Returns the rollout with the given name. */
  public Optional<Rollout> rollout(String name) {
    return find(ResourceKind.ROLLOUT, name, Rollout.class);
  }

  /** Returns the resource that the reference names. */
  public Optional<Resource> resource(ResourceReference reference) {
    return find(reference.kind(), reference.name(), Resource.class);
  }

  /** Returns what callers may send; nothing is bounded when no limits are stated. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns all services. */
  public Collection<Service> services() {
    return section(ResourceKind.SERVICE, Service.class);
  }

  /** Returns all routes. */
  public Collection<Route> routes() {
    return section(ResourceKind.ROUTE, Route.class);
  }

  /** Returns all availability zones. */
  public Collection<AvailabilityZone> zones() {
    return section(ResourceKind.AVAILABILITY_ZONE, AvailabilityZone.class);
  }

  /** Returns all rollouts, also those that have ended. */
  public Collection<Rollout> rollouts() {
    return section(ResourceKind.ROLLOUT, Rollout.class);
  }

  /** Returns all resources. */
  public Stream<Resource> allResources() {
    return resources.values().stream().flatMap(each -> each.values().stream());
  }

  /** Returns the changes remembered, oldest first. */
  List<AcceptedChange> recentChanges() {
    return recentChanges;
  }

  /** Returns the versions at which zones were last withdrawn or returned. */
  Map<String, Long> zoneChanges() {
    return zoneChanges;
  }

  /** Returns the resources of a kind by name. */
  SortedMap<String, Resource> section(ResourceKind kind) {
    return resources.getOrDefault(kind, Collections.emptySortedMap());
  }

  @SuppressWarnings("unchecked")
  private <T extends Resource> Collection<T> section(ResourceKind kind, Class<T> unused) {
    return (Collection<T>) Collections.unmodifiableCollection(section(kind).values());
  }

  private <T extends Resource> Optional<T> find(ResourceKind kind, String name, Class<T> type) {
    return Optional.ofNullable(section(kind).get(name)).map(type::cast);
  }

  // -- conversion

  /** Returns the resources as a document, in the form of a configuration file. */
  public Document.Mapping toDocument() {
    return ConfigurationCodec.toDocument(this);
  }

  /** Returns the MessagePack form; equal snapshots give equal bytes. */
  public byte[] toBytes() {
    return ConfigurationCodec.toBytes(this);
  }

  /** Returns the digest of {@link #toBytes()}. */
  public Digest digest() {
    return Digest.of(toBytes());
  }

  // -- Object

  @Override
  public String toString() {
    return "Configuration(version " + version + ", " + allResources().count() + " resources)";
  }
}
