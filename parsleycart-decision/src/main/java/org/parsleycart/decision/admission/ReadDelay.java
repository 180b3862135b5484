package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * How long requests have waited in their sockets for the one thread that reads them.
 *
 * <p>An event loop handles in one pass all connections that became ready in the pass before, so a
 * request that it reads has waited since the pass began and, on average, half of the pass before.
 * Used by that thread alone.
 */
public final class ReadDelay {
  /** A pass that begins within this time after another follows it without a pause. */
  private static final Duration MAXIMUM_GAP_WITHOUT_PAUSE = Duration.ofMillis(1);

  /** A call is read at its entry and beside the upstream, and so is its answer on the way back. */
  private static final int READS_PER_CALL = 4;

  /** A single long pass is a pause, such as a garbage collection, which is over by now. */
  private static final int LONG_PASSES_BEFORE_REFUSING = 2;

  /** Below this, waiting is the usual jitter of a loop that keeps up. */
  private static final Duration LONG_WAIT = Duration.ofMillis(20);

  private Optional<Instant> passBeganAt = Optional.empty();
  private Instant lastPassEndedAt = Instant.MIN;
  private Duration lastPassDuration = Duration.ZERO;
  private Duration waitBeforePass = Duration.ZERO;
  private int consecutiveLongPasses;

  // -- events

  /**
   * Takes note of a request that is read.
   *
   * @param now the time
   * @return whether it is the first of its pass, so that the caller arranges for {@link
   *     #recordPassEnd}
   */
  public boolean recordRequest(Instant now) {
    requireNonNull(now, "now is null");
    if (passBeganAt.isPresent()) {
      return false;
    }
    boolean followsWithoutPause = !now.isAfter(lastPassEndedAt.plus(MAXIMUM_GAP_WITHOUT_PAUSE));
    waitBeforePass = followsWithoutPause ? lastPassDuration.dividedBy(2) : Duration.ZERO;
    passBeganAt = Optional.of(now);
    return true;
  }

  /** Takes note that the thread has handled all connections of the pass. */
  public void recordPassEnd(Instant now) {
    requireNonNull(now, "now is null");
    lastPassDuration = passBeganAt.map(began -> Duration.between(began, now)).orElse(Duration.ZERO);
    lastPassEndedAt = now;
    passBeganAt = Optional.empty();
    consecutiveLongPasses =
        lastPassDuration.compareTo(LONG_WAIT) > 0 ? consecutiveLongPasses + 1 : 0;
  }

  // -- queries

  /** Returns how long a request that is read now has waited. */
  public Duration waitingTime(Instant now) {
    requireNonNull(now, "now is null");
    return passBeganAt
        .map(began -> Duration.between(began, now).plus(waitBeforePass))
        .orElse(Duration.ZERO);
  }

  /**
   * Returns whether a request that is read now would be answered too late, because this thread has
   * fallen behind and the reads to come wait as long as this one did.
   *
   * @param remaining the time until the answer is late
   * @param now the time
   */
  public boolean wouldAnswerLate(Duration remaining, Instant now) {
    requireNonNull(remaining, "remaining is null");
    Duration waited = waitingTime(now);
    return consecutiveLongPasses >= LONG_PASSES_BEFORE_REFUSING
        && waited.compareTo(LONG_WAIT) > 0
        && waited.multipliedBy(READS_PER_CALL).compareTo(remaining) > 0;
  }
}
