package org.parsleycart.decision.routing;

import java.time.Duration;
import java.util.List;

/**
 * The size and load of a simulated fleet.
 *
 * @param slots the calls that each upstream runs at once
 * @param slownesses how long work takes on a VM, in turn over the upstreams
 * @param load the rate of calls as a share of the capacity of all upstreams together
 * @param callsPerBurst the mean number of calls that a chooser sends close together
 */
record FleetShape(
    int choosers,
    int upstreams,
    int zones,
    int slots,
    List<Double> slownesses,
    double load,
    double callsPerBurst,
    double meanCallMilliseconds,
    Duration deadline,
    double warmUpMilliseconds,
    double measuredMilliseconds) {

  /** Returns the fleet of the design note: three speeds up to 2.4 times apart. */
  static FleetShape ofThreeSpeeds() {
    return new FleetShape(
        80, 63, 4, 8, List.of(1.0, 1.55, 2.4), 0.7, 3, 276, Duration.ofSeconds(3), 4_000, 15_000);
  }

  /** Returns a small fleet of equal upstreams. */
  static FleetShape ofEqualSpeeds(double load) {
    return new FleetShape(
        12, 4, 4, 18, List.of(1.0), load, 3, 50, Duration.ofSeconds(1), 4_000, 30_000);
  }

  /** Returns this fleet with another mean number of calls in a burst. */
  FleetShape withCallsPerBurst(double newCallsPerBurst) {
    return new FleetShape(
        choosers,
        upstreams,
        zones,
        slots,
        slownesses,
        load,
        newCallsPerBurst,
        meanCallMilliseconds,
        deadline,
        warmUpMilliseconds,
        measuredMilliseconds);
  }

  double slowness(int upstream) {
    return slownesses.get(upstream % slownesses.size());
  }
}
