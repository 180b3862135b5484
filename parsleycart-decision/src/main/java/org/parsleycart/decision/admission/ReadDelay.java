package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Estimates how long requests have waited in their sockets for the event loop thread that reads
 * them.
 *
 * <p>In one pass, an event loop handles all connections that became ready during the previous pass.
 * A request has therefore waited since the start of the current pass and, on average, for half of
 * the previous pass. Not thread-safe; used only by the event loop thread.
 */
public final class ReadDelay {
  /** A pass that begins within this time after another one follows it without a pause. */
  private static final Duration MAXIMUM_GAP_WITHOUT_PAUSE = Duration.ofMillis(1);

  /**
   * Reads of one call: the entry daemon and the daemon beside the upstream each read the request
   * and its answer.
   */
  private static final int READS_PER_CALL = 4;

  /** A single long pass may be a pause that is already over, such as a garbage collection. */
  private static final int LONG_PASSES_BEFORE_REFUSING = 2;

  /** Shorter waits are the normal jitter of an event loop that keeps up. */
  private static final Duration LONG_WAIT = Duration.ofMillis(20);

  private Optional<Instant> passBeganAt = Optional.empty();
  private Instant lastPassEndedAt = Instant.MIN;
  private Duration lastPassDuration = Duration.ZERO;
  private Duration waitBeforePass = Duration.ZERO;
  private int consecutiveLongPasses;

  // -- events

  /**
   * Records that a request is read.
   *
   * @return whether it is the first request of its pass; the caller must then arrange for a call of
   *     {@link #recordPassEnd}
   */
  public boolean recordRequest(Instant now) {
    requireNonNull(now, "now is null");
    if (passBeganAt.isPresent()) {
      return false;
    }
    boolean isWithoutPause = !now.isAfter(lastPassEndedAt.plus(MAXIMUM_GAP_WITHOUT_PAUSE));
    waitBeforePass = isWithoutPause ? lastPassDuration.dividedBy(2) : Duration.ZERO;
    passBeganAt = Optional.of(now);
    return true;
  }

  /** Records that the thread has handled all connections of the pass. */
  public void recordPassEnd(Instant now) {
    requireNonNull(now, "now is null");
    lastPassDuration = passBeganAt.map(start -> Duration.between(start, now)).orElse(Duration.ZERO);
    lastPassEndedAt = now;
    passBeganAt = Optional.empty();
    consecutiveLongPasses =
        lastPassDuration.compareTo(LONG_WAIT) > 0 ? consecutiveLongPasses + 1 : 0;
  }

  // -- queries

  /** Returns how long a request that is read now has waited, or zero outside a pass. */
  public Duration waitingTime(Instant now) {
    requireNonNull(now, "now is null");
    return passBeganAt
        .map(start -> Duration.between(start, now).plus(waitBeforePass))
        .orElse(Duration.ZERO);
  }

  /**
   * Returns whether a request that is read now would be answered too late. This is the case when
   * the event loop is behind and the time left is too short if every read of the call waits as long
   * as this one.
   *
   * @param remaining the time until the answer is late
   */
  public boolean wouldAnswerLate(Duration remaining, Instant now) {
    requireNonNull(remaining, "remaining is null");
    Duration waited = waitingTime(now);
    return consecutiveLongPasses >= LONG_PASSES_BEFORE_REFUSING
        && waited.compareTo(LONG_WAIT) > 0
        && waited.multipliedBy(READS_PER_CALL).compareTo(remaining) > 0;
  }
}
