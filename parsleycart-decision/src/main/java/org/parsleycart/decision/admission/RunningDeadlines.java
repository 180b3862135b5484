package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * The deadlines of the calls that the upstreams beside this daemon run. The calls that an upstream
 * makes meanwhile expire with the call that they serve, by which they are recognised.
 *
 * <p>A call that happens to expire at the same moment is taken for a nested one. Thread-safe.
 */
public final class RunningDeadlines {
  /** Deadlines are stated in whole milliseconds on each of two hops, and the hops take time. */
  private static final Duration TOLERANCE = Duration.ofMillis(5);

  private final ConcurrentSkipListMap<Instant, Integer> countByDeadline =
      new ConcurrentSkipListMap<>();

  // -- events

  /** Records that an upstream runs a call. */
  public void add(Instant deadline) {
    countByDeadline.merge(requireNonNull(deadline, "deadline is null"), 1, Integer::sum);
  }

  /** Records the end of a call that was added. */
  public void remove(Instant deadline) {
    countByDeadline.computeIfPresent(
        requireNonNull(deadline, "deadline is null"),
        (key, count) -> count > 1 ? Integer.valueOf(count - 1) : null);
  }

  // -- queries

  /** Returns whether a call with this deadline may serve a call that an upstream runs. */
  public boolean mayServe(Instant deadline) {
    requireNonNull(deadline, "deadline is null");
    Instant earliest = deadline.minus(TOLERANCE);
    Instant next = countByDeadline.ceilingKey(earliest);
    return next != null && !next.isAfter(deadline.plus(TOLERANCE));
  }
}
