package org.parsleycart.decision.usage;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The daemons that were members during a window, also if they have left or died since. Not
 * thread-safe.
 */
public final class ExpectedDaemons {
  private final Duration retention;
  private final Map<String, Instant> lastSeen = new TreeMap<>();

  // -- construction

  /** Creates a record that forgets daemons not seen for the retention. */
  public ExpectedDaemons(Duration retention) {
    this.retention = retention;
  }

  // -- events

  /** Records the members that are present now. */
  public void observe(Collection<String> present, Instant now) {
    present.forEach(daemon -> lastSeen.put(daemon, now));
    lastSeen.values().removeIf(seen -> seen.isBefore(now.minus(retention)));
  }

  // -- queries

  /** Returns the daemons that were present at a time or later. */
  public Set<String> presentSince(Instant time) {
    return lastSeen.entrySet().stream()
        .filter(entry -> !entry.getValue().isBefore(time))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }
}
