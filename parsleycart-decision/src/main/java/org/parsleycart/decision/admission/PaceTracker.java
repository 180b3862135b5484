package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Tracks how long calls take at one upstream. The pace that the server states counts only relative
 * to its average over the answers that were measured, so that a constant false pace has no effect.
 * Thread-safe.
 */
public final class PaceTracker {
  /** Weight of a new answer, so that the averages cover roughly the last ten answers. */
  private static final double ANSWER_WEIGHT = 0.1;

  /** Weight of a newly stated pace, which changes many times a second. */
  private static final double STATEMENT_WEIGHT = 0.3;

  private static final double PERCENT = 100;

  private double usualNanoseconds;
  private double currentPace;
  private double averagePace;

  // -- events

  /** Records the pace that an answer states, if it does. */
  public synchronized void recordStatement(OptionalInt pace) {
    requireNonNull(pace, "pace is null");
    pace.ifPresent(
        stated ->
            currentPace = currentPace == 0 ? stated : mean(currentPace, stated, STATEMENT_WEIGHT));
  }

  /** Records how long a call took from its start to its complete answer. */
  public synchronized void recordAnswer(Duration latency) {
    double sample = Math.max(1, latency.toNanos());
    usualNanoseconds =
        usualNanoseconds == 0 ? sample : mean(usualNanoseconds, sample, ANSWER_WEIGHT);
    averagePace = averagePace == 0 ? currentPace : mean(averagePace, currentPace, ANSWER_WEIGHT);
  }

  private static double mean(double before, double sample, double weight) {
    return before + (sample - before) * weight;
  }

  // -- queries

  /** Returns the pace of calls, empty before the first complete answer. */
  public synchronized Optional<CallPace> current() {
    if (usualNanoseconds == 0) {
      return Optional.empty();
    }
    Duration usualTime = Duration.ofNanos((long) usualNanoseconds);
    return Optional.of(
        averagePace == 0
            ? CallPace.unstated(usualTime)
            : new CallPace(usualTime, (int) Math.round(PERCENT * currentPace / averagePace)));
  }
}
