package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * A concurrency limit that adapts to the latency and the failures of an upstream.
 *
 * <p>The limit starts at the cold limit and changes once per round of answers. It grows when most
 * of it was in use and the answers were about as fast as usual on their routes. It shrinks when
 * they were much slower. The usual latency of a route, its baseline, is learned from fast answers.
 * Slow answers raise the baseline only at the cold limit, where the limit itself cannot be the
 * cause of the slowness. Otherwise the limit would follow the latency that it causes.
 *
 * <p>A failed connection, or several answers in a row far above the usual latency, indicate that
 * the upstream has become cold. The limit then returns to the cold limit immediately. Not
 * thread-safe; callers hold the lock of the owning {@link AdmissionControl}.
 */
final class AdaptiveLimit implements ConcurrencyLimit {
  private static final int MINIMUM_ANSWERS_PER_ROUND = 4;
  private static final double SHRINK_ABOVE_LATENCY_RATIO = 2.0;
  private static final double COLD_ABOVE_LATENCY_RATIO = 5.0;
  private static final double MINIMUM_SHRINK_FACTOR = 0.5;
  private static final int SLOW_ANSWERS_BEFORE_COLD = 3;
  private static final double GROWTH_RATE = 0.25;
  private static final double MINIMUM_USED_SHARE_TO_GROW = 0.75;
  private static final double MAXIMUM_LATENCY_RATIO_TO_GROW = 1.5;
  private static final double MINIMUM_BASELINE_NANOSECONDS = 500_000;
  private static final double BASELINE_SAMPLE_WEIGHT = 0.3;
  private static final double BASELINE_ADAPTATION_WEIGHT = 0.02;

  private final int slots;
  private final int coldLimit;
  private final Map<String, Double> baselineNanosecondsByRoute = new HashMap<>();
  private double limit;
  private WarmUpState warmUpState = WarmUpState.COLD;
  private int roundAnswers;
  private double roundLatencyRatioSum;
  private int roundPeakRunning;
  private int consecutiveSlowAnswers;
  private long returnsToCold;

  // -- construction

  private AdaptiveLimit(int slots, int coldLimit) {
    this.slots = slots;
    this.coldLimit = coldLimit;
    this.limit = coldLimit;
  }

  /**
   * Creates the limit of an upstream that has just started.
   *
   * @param slots the calls that the upstream announces it can run at once, at least 1
   * @param coldLimit the calls that the upstream sustains at once while cold, at least 1; capped at
   *     {@code slots}
   */
  static AdaptiveLimit of(int slots, int coldLimit) {
    if (slots < 1 || coldLimit < 1) {
      throw new IllegalArgumentException(
          "slots and coldLimit must be at least 1, but are %d and %d".formatted(slots, coldLimit));
    }
    return new AdaptiveLimit(slots, Math.min(slots, coldLimit));
  }

  // -- queries

  @Override
  public int current() {
    return (int) limit;
  }

  @Override
  public WarmUpState warmUpState() {
    return warmUpState;
  }

  @Override
  public long returnsToCold() {
    return returnsToCold;
  }

  @Override
  public Duration usualLatency(String route) {
    double nanoseconds = baselineNanosecondsByRoute.getOrDefault(route, 0.0);
    return Duration.ofNanos((long) nanoseconds);
  }

  // -- events

  @Override
  public void recordAnswer(String route, Duration latency, int running) {
    requireNonNull(route, "route is null");
    double ratio = updateBaselineAndGetRatio(route, (double) latency.toNanos());
    consecutiveSlowAnswers = ratio > COLD_ABOVE_LATENCY_RATIO ? consecutiveSlowAnswers + 1 : 0;
    if (consecutiveSlowAnswers >= SLOW_ANSWERS_BEFORE_COLD && warmUpState != WarmUpState.COLD) {
      returnToCold();
      return;
    }
    roundAnswers++;
    roundLatencyRatioSum += ratio;
    roundPeakRunning = Math.max(roundPeakRunning, running);
    if (roundAnswers >= Math.max(MINIMUM_ANSWERS_PER_ROUND, current())) {
      completeRound();
    }
  }

  @Override
  public void recordFailure() {
    returnToCold();
  }

  @Override
  public void recordOverload() {
    limit = Math.max(coldLimit, limit * MINIMUM_SHRINK_FACTOR);
    startNewRound();
  }

  @Override
  public void reset() {
    baselineNanosecondsByRoute.clear();
    returnToCold();
  }

  @Override
  public void recordConnectionFailure() {
    returnToCold();
  }

  private void returnToCold() {
    if (warmUpState != WarmUpState.COLD) {
      returnsToCold++;
    }
    warmUpState = WarmUpState.COLD;
    limit = coldLimit;
    consecutiveSlowAnswers = 0;
    startNewRound();
  }

  private double updateBaselineAndGetRatio(String route, double nanoseconds) {
    double sample = Math.max(MINIMUM_BASELINE_NANOSECONDS, nanoseconds);
    Double baseline = baselineNanosecondsByRoute.get(route);
    if (baseline == null) {
      baselineNanosecondsByRoute.put(route, sample);
      return 1.0;
    }
    double ratio = sample / baseline;
    if (sample < baseline) {
      baselineNanosecondsByRoute.put(
          route, baseline + (sample - baseline) * BASELINE_SAMPLE_WEIGHT);
    }
    return ratio;
  }

  private void completeRound() {
    double ratio = roundLatencyRatioSum / roundAnswers;
    if (ratio > SHRINK_ABOVE_LATENCY_RATIO) {
      double factor = Math.max(MINIMUM_SHRINK_FACTOR, SHRINK_ABOVE_LATENCY_RATIO / ratio);
      limit = Math.max(coldLimit, limit * factor);
    } else if (ratio <= MAXIMUM_LATENCY_RATIO_TO_GROW
        && roundPeakRunning >= limit * MINIMUM_USED_SHARE_TO_GROW) {
      limit = Math.min(slots, limit + Math.max(1.0, limit * GROWTH_RATE));
    }
    if (ratio > MAXIMUM_LATENCY_RATIO_TO_GROW && current() <= coldLimit) {
      adaptBaselines(ratio);
    }
    warmUpState = warmUpStateAfterRound(ratio);
    startNewRound();
  }

  private void adaptBaselines(double ratio) {
    double factor = 1 + (ratio - 1) * BASELINE_ADAPTATION_WEIGHT;
    baselineNanosecondsByRoute.replaceAll((route, baseline) -> baseline * factor);
  }

  private WarmUpState warmUpStateAfterRound(double ratio) {
    if (current() >= slots || (warmUpState == WarmUpState.WARM && current() > coldLimit)) {
      return WarmUpState.WARM;
    }
    if (current() > coldLimit) {
      return ratio > SHRINK_ABOVE_LATENCY_RATIO ? WarmUpState.WARM : WarmUpState.WARMING;
    }
    return WarmUpState.COLD;
  }

  private void startNewRound() {
    roundAnswers = 0;
    roundLatencyRatioSum = 0;
    roundPeakRunning = 0;
  }
}
