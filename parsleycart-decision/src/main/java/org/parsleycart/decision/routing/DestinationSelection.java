package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.random.RandomGenerator;
import org.parsleycart.model.Route;
import org.parsleycart.model.WeightedService;

/** Selects a destination service of a route in proportion to the weights of its services. */
public final class DestinationSelection {
  private DestinationSelection() {}

  /**
   * Returns the name of the service that receives a request. The selection does not depend on load,
   * so the traffic shares also hold while one service lacks capacity.
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
