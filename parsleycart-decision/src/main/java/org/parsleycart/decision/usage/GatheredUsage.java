package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The counts that a holder has gathered for windows not yet reported. Counts of one process of a
 * daemon replace its earlier ones, so that counts that arrive twice are added once. Not
 * thread-safe.
 */
public final class GatheredUsage {
  private final Map<Long, Map<Source, WindowCounts>> countsByWindow = new HashMap<>();
  private final Map<Long, Set<String>> answeredByWindow = new HashMap<>();

  private record Source(String daemon, long incarnation) {}

  // -- events

  /**
   * Merges the counts of one process of a daemon.
   *
   * @param requested the windows that the counts cover; one without counts had no requests
   */
  public void merge(DaemonUsage usage, Set<Long> requested) {
    requireNonNull(usage, "usage is null");
    Source source = new Source(usage.daemon(), usage.incarnation());
    requested.forEach(
        window ->
            answeredByWindow
                .computeIfAbsent(window, unused -> new HashSet<>())
                .add(usage.daemon()));
    usage.windows().stream()
        .filter(counts -> requested.contains(counts.window()))
        .forEach(
            counts ->
                countsByWindow
                    .computeIfAbsent(counts.window(), unused -> new HashMap<>())
                    .put(source, counts));
  }

  /** Forgets the windows up to the given one. */
  public void forgetThrough(long window) {
    countsByWindow.keySet().removeIf(each -> each <= window);
    answeredByWindow.keySet().removeIf(each -> each <= window);
  }

  // -- queries

  /** Returns the sums over all daemons for a window. */
  public WindowCounts sums(long window) {
    return countsByWindow.getOrDefault(window, Map.of()).values().stream()
        .reduce(WindowCounts.empty(window), WindowCounts::plus);
  }

  /** Returns the daemons among the expected ones whose counts of a window are missing, sorted. */
  public List<String> missing(long window, Set<String> expected) {
    Set<String> missing = new TreeSet<>(expected);
    missing.removeAll(answeredByWindow.getOrDefault(window, Set.of()));
    return List.copyOf(missing);
  }
}
