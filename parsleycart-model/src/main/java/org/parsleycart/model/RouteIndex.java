package org.parsleycart.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The routes of one configuration, indexed by the first segment of the path prefix. */
final class RouteIndex {
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparing((Route route) -> route.pathPrefix().length()).reversed();

  private final Map<String, List<Route>> byFirstSegment = new HashMap<>();
  private final Map<RouteKey, Route> byKey = new HashMap<>();

  /** The attributes that must be unique among the routes of a configuration. */
  private record RouteKey(Optional<String> host, String pathPrefix, Selector daemons) {
    static RouteKey of(Route route) {
      return new RouteKey(route.host(), route.pathPrefix(), route.daemons());
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
    byKey.putIfAbsent(RouteKey.of(route), route);
  }

  // -- queries

  /**
   * Returns the route with the longest prefix that matches the path on the given daemon. Routes for
   * the given host take precedence over routes for any host.
   */
  Optional<Route> find(Optional<String> host, String path, Map<String, String> daemonLabels) {
    List<Route> matching =
        Stream.of(firstSegment(path), "")
            .distinct()
            .flatMap(segment -> byFirstSegment.getOrDefault(segment, List.of()).stream())
            .filter(route -> route.matchesPath(path))
            .filter(route -> route.host().isEmpty() || route.host().equals(host))
            .filter(route -> route.daemons().matches(daemonLabels))
            .toList();
    return matching.stream()
        .filter(route -> route.host().isPresent())
        .findFirst()
        .or(() -> matching.stream().findFirst());
  }

  /**
   * Returns the first route by name with the host, prefix and daemon selector of the given route.
   */
  Optional<Route> findWithSameKey(Route route) {
    return Optional.ofNullable(byKey.get(RouteKey.of(route)));
  }

  private static String firstSegment(String path) {
    int end = path.indexOf('/', 1);
    return path.substring(Math.min(1, path.length()), end < 0 ? path.length() : end);
  }
}
