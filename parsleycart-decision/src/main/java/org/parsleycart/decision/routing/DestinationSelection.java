package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.random.RandomGenerator;
import org.parsleycart.model.Route;
import org.parsleycart.model.WeightedService;

/** Chooses among the services of a route in proportion to their weights. */
public final class DestinationSelection {
  private DestinationSelection() {}

  /**
   * Returns the name of the service that takes a request. The choice does not depend on load, so
   * that the shares hold also while one service is short of room.
   */
  public static String choose(Route route, RandomGenerator random) {
    requireNonNull(route, "route is null");
    requireNonNull(random, "random is null");
    List<WeightedService> destinations = route.destinations();
    if (destinations.size() == 1) {
      return destinations.get(0).service();
    }
    long remainingWeight =
        random.nextLong(
            Math.max(1, destinations.stream().mapToLong(WeightedService::weight).sum()));
    for (WeightedService destination : destinations) {
      remainingWeight -= destination.weight();
      if (remainingWeight < 0) {
        return destination.service();
      }
    }
    return destinations.get(0).service();
  }
}
