package org.parsleycart.decision.usage;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The requests that upstreams began in one window.
 *
 * @param window the number of the window
 * @param counts the requests by organisation, in the order of their names
 */
public record WindowCounts(long window, Map<String, Long> counts) {

  // -- construction

  public WindowCounts {
    counts = Collections.unmodifiableMap(new TreeMap<>(counts));
  }

  public static WindowCounts empty(long window) {
    return new WindowCounts(window, Map.of());
  }

  // -- queries

  /** Returns the sum with other counts of the same window. */
  public WindowCounts plus(WindowCounts other) {
    if (other.window != window) {
      throw new IllegalArgumentException("windows " + window + " and " + other.window);
    }
    Map<String, Long> sums = new TreeMap<>(counts);
    other.counts.forEach((organisation, count) -> sums.merge(organisation, count, Long::sum));
    return new WindowCounts(window, sums);
  }
}
