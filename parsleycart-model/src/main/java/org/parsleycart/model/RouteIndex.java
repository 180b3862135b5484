package org.parsleycart.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The routes of one configuration, found by the first segment of a path. */
final class RouteIndex {
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparing((Route route) -> route.pathPrefix().length()).reversed();

  private final Map<String, List<Route>> byFirstSegment = new HashMap<>();
  private final Map<Place, Route> byPlace = new HashMap<>();

  /** What at most one route may cover. */
  private record Place(Optional<String> host, String pathPrefix, Selector daemons) {
    static Place of(Route route) {
      return new Place(route.host(), route.pathPrefix(), route.daemons());
    }
  }

  // -- construction

  private RouteIndex() {}

  static RouteIndex of(Collection<Route> routes) {
    RouteIndex index = new RouteIndex();
    routes.forEach(index::add);
    index.byFirstSegment.values().forEach(each -> each.sort(LONGEST_PREFIX_FIRST));
    return index;
  }

  private void add(Route route) {
    byFirstSegment
        .computeIfAbsent(firstSegment(route.pathPrefix()), unused -> new ArrayList<>())
        .add(route);
    byPlace.putIfAbsent(Place.of(route), route);
  }

  // -- queries

  /**
   * Returns the route with the longest prefix that covers the path, for the given daemon. Routes of
   * the host go before routes of any host.
   */
  Optional<Route> find(Optional<String> host, String path, Map<String, String> daemonLabels) {
    List<Route> fitting =
        Stream.of(firstSegment(path), "")
            .distinct()
            .flatMap(segment -> byFirstSegment.getOrDefault(segment, List.of()).stream())
            .filter(route -> route.matchesPath(path))
            .filter(route -> route.host().isEmpty() || route.host().equals(host))
            .filter(route -> route.daemons().matches(daemonLabels))
            .toList();
    return fitting.stream()
        .filter(route -> route.host().isPresent())
        .findFirst()
        .or(() -> fitting.stream().findFirst());
  }

  /** Returns the first route by name with the host, prefix and daemons of the given one. */
  Optional<Route> findWithSameKey(Route route) {
    return Optional.ofNullable(byPlace.get(Place.of(route)));
  }

  private static String firstSegment(String path) {
    int end = path.indexOf('/', 1);
    return path.substring(Math.min(1, path.length()), end < 0 ? path.length() : end);
  }
}
