package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * A constant concurrency limit equal to the slots that the upstream announces.
 *
 * <p>{@link ColdStartRateLimiter} separately limits the calls per second of a cold upstream, so
 * failures of single calls do not lower this limit. Not thread-safe; callers hold the lock of the
 * owning {@link AdmissionControl}.
 */
final class FixedLimit implements ConcurrencyLimit {
  /** Weight of a new sample in the moving average, which covers roughly the last ten answers. */
  private static final double LATENCY_SAMPLE_WEIGHT = 0.1;

  private final int slots;
  private final Map<String, Double> averageNanosecondsByRoute = new HashMap<>();
  private long returnsToCold;

  // -- construction

  FixedLimit(int slots) {
    this.slots = slots;
  }

  // -- queries

  @Override
  public int current() {
    return slots;
  }

  @Override
  public WarmUpState warmUpState() {
    return WarmUpState.WARM;
  }

  @Override
  public long returnsToCold() {
    return returnsToCold;
  }

  @Override
  public Duration usualLatency(String route) {
    return Duration.ofNanos(averageNanosecondsByRoute.getOrDefault(route, 0.0).longValue());
  }

  // -- events

  @Override
  public void recordAnswer(String route, Duration latency, int running) {
    requireNonNull(route, "route is null");
    double sample = (double) latency.toNanos();
    averageNanosecondsByRoute.merge(
        route, sample, (average, latest) -> average + (latest - average) * LATENCY_SAMPLE_WEIGHT);
  }

  @Override
  public void recordFailure() {}

  @Override
  public void recordConnectionFailure() {
    returnsToCold++;
  }

  @Override
  public void recordOverload() {}

  @Override
  public void reset() {
    returnsToCold++;
  }
}
