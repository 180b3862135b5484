package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
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
 * An immutable snapshot of the configuration at one version. Every reference between its resources
 * resolves within the snapshot.
 *
 * <pre>{@code
 * Either<List<Violation>, Configuration> next = Configuration.empty().apply(change);
 * }</pre>
 */
public final class Configuration {
  private static final Configuration EMPTY =
      new Configuration(0, new EnumMap<>(ResourceKind.class), List.of(), Map.of());

  /** Number of change identifiers that a snapshot retains to recognize repeated changes. */
  static final int MAXIMUM_RECENT_CHANGES = 512;

  private final long version;
  private final Map<ResourceKind, SortedMap<String, Resource>> resources;
  private final List<AcceptedChange> recentChanges;
  private final Map<String, Long> zoneChanges;
  private final RouteIndex routeIndex;
  private final Set<String> withdrawnZones;
  private final RolloutIndex rolloutIndex;
  private final DeadlineRange deadlines;
  private final CallerLimits callerLimits;
  private final KeyIndex keyIndex;
  private final Publication publication;

  /**
   * An accepted change and the version that it produced.
   *
   * @param identifier the identifier of the change
   * @param version the version that the change produced
   */
  public record AcceptedChange(String identifier, long version) {}

  // -- construction

  Configuration(
      long version,
      Map<ResourceKind, SortedMap<String, Resource>> resources,
      List<AcceptedChange> recentChanges,
      Map<String, Long> zoneChanges) {
    this.version = version;
    this.resources = resources;
    this.recentChanges = recentChanges;
    this.zoneChanges = Map.copyOf(zoneChanges);
    this.routeIndex = RouteIndex.of(routes());
    this.withdrawnZones = findWithdrawnZones();
    this.rolloutIndex = RolloutIndex.of(this);
    this.deadlines = DeadlineRange.of(section(ResourceKind.CONTRACT, Contract.class));
    this.callerLimits =
        section(ResourceKind.CALLER_LIMITS, CallerLimits.class).stream()
            .findFirst()
            .orElseGet(CallerLimits::none);
    this.keyIndex = KeyIndex.of(section(ResourceKind.ORGANISATION, Organisation.class));
    this.publication =
        section(ResourceKind.PUBLICATION, Publication.class).stream()
            .findFirst()
            .orElseGet(Publication::none);
  }

  /** Returns version 0, which contains no resources. */
  public static Configuration empty() {
    return EMPTY;
  }

  /**
   * Decodes a snapshot from MessagePack.
   *
   * @param bytes the result of {@link #toBytes()}
   * @return the snapshot, or the problems found in the bytes
   */
  public static Either<List<Problem>, Configuration> from(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    return ConfigurationCodec.read(bytes);
  }

  /**
   * Creates a snapshot from the complete set of resources that another writer published.
   *
   * @param version the version, at least 1
   * @param resources the resources; the last of several with the same kind and name is used
   * @return the snapshot, or all violations in it
   */
  public static Either<List<Violation>, Configuration> of(
      long version, Collection<? extends Resource> resources) {
    requireNonNull(resources, "resources is null");
    Map<ResourceKind, SortedMap<String, Resource>> byKind = new EnumMap<>(ResourceKind.class);
    resources.forEach(resource -> put(byKind, resource));
    Configuration result = new Configuration(version, byKind, List.of(), Map.of());
    List<Violation> violations =
        result.allResources().flatMap(resource -> resource.violations(result)).toList();
    return violations.isEmpty() ? Either.right(result) : Either.left(violations);
  }

  /**
   * Creates a snapshot that another writer published, from its difference to this snapshot.
   *
   * @param newVersion the version, at least 1
   * @param difference the result of {@link ConfigurationChange#between}
   * @return the snapshot, or all violations in it
   */
  public Either<List<Violation>, Configuration> withDifference(
      long newVersion, ConfigurationChange difference) {
    requireNonNull(difference, "difference is null");
    Set<ResourceReference> affected = difference.affectedResources();
    Stream<Resource> unchanged =
        allResources().filter(resource -> !affected.contains(resource.reference()));
    return of(newVersion, Stream.concat(unchanged, difference.upserts().stream()).toList());
  }

  /**
   * Applies a change atomically.
   *
   * @return the next version, or all violations in the configuration that would result
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
        violations.add(new Violation(removal, "no resource to remove", "an existing resource"));
      }
    }
    change.upserts().forEach(resource -> put(next, resource));
    List<AcceptedChange> recent = recentChangesWith(change.identifier(), version + 1);
    Configuration withoutNewZoneChanges = new Configuration(version + 1, next, recent, zoneChanges);
    Configuration result = withoutNewZoneChanges.withZoneChangesSince(this);
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

  private List<AcceptedChange> recentChangesWith(String identifier, long acceptedVersion) {
    int evicted = Math.max(0, recentChanges.size() + 1 - MAXIMUM_RECENT_CHANGES);
    List<AcceptedChange> recent =
        new ArrayList<>(recentChanges.subList(evicted, recentChanges.size()));
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

  /** Returns the version, at least 1, or 0 for the empty configuration. */
  public long version() {
    return version;
  }

  /** Returns how recent this configuration is, which decides whether it replaces another one. */
  public Recency recency() {
    return new Recency(publication.generation(), version);
  }

  /** Returns the state of the rows from which this configuration was published. */
  public Publication publication() {
    return publication;
  }

  /** Returns the version that the change produced, or empty if the change is not retained. */
  public Optional<Long> versionOf(String changeIdentifier) {
    return recentChanges.stream()
        .filter(change -> change.identifier().equals(changeIdentifier))
        .map(AcceptedChange::version)
        .findFirst();
  }

  /** Returns the route with the longest matching prefix among the routes for any host. */
  public Optional<Route> routeFor(String path, Map<String, String> daemonLabels) {
    return routeFor(Optional.empty(), path, daemonLabels);
  }

  /**
   * Returns the route with the longest prefix that matches the path on the given daemon. Routes for
   * the given host take precedence over routes for any host.
   *
   * @param host the host named in the request, without its port
   * @param path the path of the request
   * @param daemonLabels the labels of the daemon that received the request
   */
  public Optional<Route> routeFor(
      Optional<String> host, String path, Map<String, String> daemonLabels) {
    return routeIndex.find(host, path, daemonLabels);
  }

  /**
   * Returns the first route by name with the host, prefix and daemon selector of the given route.
   */
  Optional<Route> routeWithSameKey(Route route) {
    return routeIndex.findWithSameKey(route);
  }

  /** Returns whether operators have withdrawn the zone from service. */
  public boolean isWithdrawn(String zone) {
    return withdrawnZones.contains(zone);
  }

  /** Returns the names of the zones that operators have withdrawn from service. */
  public Set<String> withdrawnZones() {
    return withdrawnZones;
  }

  /** Returns the version in which the zone was last withdrawn or restored, or 0 if never. */
  public long zoneChangeVersion(String zone) {
    return zoneChanges.getOrDefault(zone, 0L);
  }

  /** Returns the active rollout of the service. */
  public Optional<Rollout> activeRollout(String service) {
    return rolloutIndex.active(service);
  }

  /** Returns the service version that a completed rollout introduced. */
  public Optional<String> completedVersion(String service) {
    return rolloutIndex.completed(service).map(Rollout::version);
  }

  /** Returns the versions of a service that receive only the calls assigned by a rollout. */
  public Set<String> heldBackVersions(String service) {
    return rolloutIndex.heldBackVersions(service);
  }

  public Optional<Service> service(String name) {
    return find(ResourceKind.SERVICE, name, Service.class);
  }

  public Optional<Contract> contract(String name) {
    return find(ResourceKind.CONTRACT, name, Contract.class);
  }

  /** Returns the shortest deadline of all contracts, or empty if there are none. */
  public Optional<Duration> shortestDeadline() {
    return deadlines.shortest();
  }

  /**
   * Returns the instant from which the answer to a call is of little use: the deadline for calls
   * that upstreams make while they run other calls, and the end of the latency objective otherwise.
   *
   * @param contract the contract of the call
   * @param deadline the deadline of the call
   */
  public Instant softDeadline(Contract contract, Instant deadline) {
    requireNonNull(contract, "contract is null");
    return deadlines.isForNestedCalls(contract) ? deadline : contract.lateAt(deadline);
  }

  public Optional<Contract> contractOfRoute(String routeName) {
    return route(routeName).flatMap(route -> contract(route.contract()));
  }

  public Optional<Route> route(String name) {
    return find(ResourceKind.ROUTE, name, Route.class);
  }

  public Optional<Rollout> rollout(String name) {
    return find(ResourceKind.ROLLOUT, name, Rollout.class);
  }

  /** Returns the resource with the given kind and name. */
  public Optional<Resource> resource(ResourceReference reference) {
    return find(reference.kind(), reference.name(), Resource.class);
  }

  /** Returns the caller limits, or {@link CallerLimits#none()} if none are configured. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Returns whether requests to routes that are not public need a key of an organisation. */
  public boolean hasOrganisations() {
    return !section(ResourceKind.ORGANISATION).isEmpty();
  }

  public Optional<Organisation> organisation(String name) {
    return find(ResourceKind.ORGANISATION, name, Organisation.class);
  }

  /** Returns the organisation that has the key. */
  public Optional<Organisation> organisationOfKey(String key) {
    return KeyDigest.ofKey(key).flatMap(keyIndex::find);
  }

  /** Returns the name of an organisation, earlier by name, that has a key of the given one. */
  Optional<String> earlierOwnerOfKeyOf(Organisation organisation) {
    return keyIndex.earlierOwnerOfKeyOf(organisation);
  }

  public Collection<Service> services() {
    return section(ResourceKind.SERVICE, Service.class);
  }

  public Collection<Route> routes() {
    return section(ResourceKind.ROUTE, Route.class);
  }

  public Collection<AvailabilityZone> zones() {
    return section(ResourceKind.AVAILABILITY_ZONE, AvailabilityZone.class);
  }

  /** Returns all rollouts, including those that have ended. */
  public Collection<Rollout> rollouts() {
    return section(ResourceKind.ROLLOUT, Rollout.class);
  }

  public Stream<Resource> allResources() {
    return resources.values().stream().flatMap(each -> each.values().stream());
  }

  /** Returns the retained accepted changes, oldest first. */
  List<AcceptedChange> recentChanges() {
    return recentChanges;
  }

  /** Returns for each zone the version in which it was last withdrawn or restored. */
  Map<String, Long> zoneChanges() {
    return zoneChanges;
  }

  /** Returns the resources of a kind, sorted by name. */
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

  /** Converts the resources to a document with the structure of a configuration file. */
  public Document.Mapping toDocument() {
    return ConfigurationCodec.toDocument(this);
  }

  /** Encodes the snapshot as MessagePack; equal snapshots have equal bytes. */
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
