package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The requests that the upstreams beside one daemon began, by window and organisation. Windows are
 * forgotten after the retention. Thread-safe.
 *
 * <p>The window of a request is that of the wall clock when the request is sent. After a step of
 * the wall clock, requests count in the windows of the new time.
 */
public final class UsageCounts implements UsageRecorder {
  /** Bounds the memory against names in large numbers; far above the organisations of a fleet. */
  static final int MAXIMUM_ORGANISATIONS = 20_000;

  private final UsageWindows windows;
  private final long retainedWindows;
  private final InstantSource wallClock;
  private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();

  // -- construction

  /**
   * Creates counts.
   *
   * @param retention how long after its end the counts of a window are kept
   * @param wallClock the wall clock, which follows true time
   */
  public UsageCounts(UsageWindows windows, Duration retention, InstantSource wallClock) {
    this.windows = requireNonNull(windows, "windows is null");
    this.retainedWindows = retention.toMillis() / windows.length().toMillis() + 1;
    this.wallClock = requireNonNull(wallClock, "wallClock is null");
  }

  // -- UsageRecorder

  @Override
  public long recordBegun(Optional<String> organisation) {
    requireNonNull(organisation, "organisation is null");
    long window = windows.at(wallClock.instant());
    organisation.ifPresent(name -> add(window, name));
    return window;
  }

  private synchronized void add(long window, String organisation) {
    if (!countsByWindow.containsKey(window)) {
      forgetOldWindows(window);
      countsByWindow.put(window, new HashMap<>());
    }
    Map<String, Long> counts = countsByWindow.get(window);
    if (counts.size() < MAXIMUM_ORGANISATIONS || counts.containsKey(organisation)) {
      counts.merge(organisation, 1L, Long::sum);
    }
  }

  /**
   * Forgets by number, so that a wall clock that was ahead for a while leaves no windows behind.
   */
  private void forgetOldWindows(long current) {
    countsByWindow.headMap(current - retainedWindows).clear();
    countsByWindow.tailMap(current + retainedWindows).clear();
  }

  @Override
  public synchronized void recordNotRun(Optional<String> organisation, long window) {
    Map<String, Long> counts = countsByWindow.get(window);
    if (counts != null && organisation.isPresent()) {
      counts.computeIfPresent(
          organisation.get(), (name, count) -> count > 1 ? Long.valueOf(count - 1) : null);
    }
  }

  // -- queries

  /** Returns the counts of the given windows, without windows in which nothing was counted. */
  public synchronized List<WindowCounts> of(Collection<Long> requested) {
    return requested.stream()
        .filter(countsByWindow::containsKey)
        .map(window -> new WindowCounts(window, countsByWindow.get(window)))
        .toList();
  }

  /** Returns all counts that are kept. */
  public synchronized List<WindowCounts> all() {
    return countsByWindow.entrySet().stream()
        .map(entry -> new WindowCounts(entry.getKey(), entry.getValue()))
        .collect(Collectors.toUnmodifiableList());
  }
}
