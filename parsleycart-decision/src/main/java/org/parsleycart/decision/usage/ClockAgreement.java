package org.parsleycart.decision.usage;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares the wall clock of the holder with those of the daemons that answer it. A holder whose
 * wall clock is wrong would end windows at wrong times and must not report. Not thread-safe.
 */
public final class ClockAgreement {
  /** Far above the error of clocks that are kept in time, and a fraction of any window. */
  private static final Duration MAXIMUM_DEVIATION = Duration.ofSeconds(1);

  private static final int MINIMUM_PEERS = 3;

  private final Map<String, Long> offsets = new HashMap<>();

  // -- events

  /**
   * Records the answer of a daemon.
   *
   * @param sentAt the wall clock of this process before the request, in milliseconds
   * @param receivedAt the wall clock of this process after the answer, in milliseconds
   * @param answeredAt the wall clock of the daemon, in milliseconds
   */
  public void record(String daemon, long sentAt, long receivedAt, long answeredAt) {
    offsets.put(daemon, answeredAt - (sentAt + receivedAt) / 2);
  }

  // -- queries

  /**
   * Returns whether enough daemons have answered, of those asked.
   *
   * @param asked the number of daemons that can answer
   */
  public boolean isConclusive(int asked) {
    return offsets.size() >= Math.min(MINIMUM_PEERS, asked);
  }

  /** Returns the median difference of the other clocks, 0 with fewer than three answers. */
  public long medianOffset() {
    if (offsets.size() < MINIMUM_PEERS) {
      return 0;
    }
    long[] sorted = offsets.values().stream().mapToLong(Long::longValue).sorted().toArray();
    return Arrays.stream(sorted).skip(sorted.length / 2).findFirst().orElse(0);
  }

  /** Returns whether the wall clock of this process differs from most others. */
  public boolean isDeviating() {
    return Math.abs(medianOffset()) > MAXIMUM_DEVIATION.toMillis();
  }
}
