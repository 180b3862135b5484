package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How many calls an upstream bears at once, learnt from latency and failures.
 *
 * <p>Starts at the cold limit. After each round of answers the limit grows when it was used and the
 * answers came about as fast as usual on their routes, and shrinks when they came much slower. What
 * is usual is learnt from fast answers, and from slow ones only at the cold limit, where slowness
 * is no effect of the limit itself; so the limit cannot chase the latency that it causes. A failed
 * connection, or several answers far above the usual latency in a row, mean that the upstream
 * turned cold, and the limit falls back at once. Used under the lock of its owner.
 */
final class AdaptiveLimit implements ConcurrencyLimit {
  private static final int SHORTEST_ROUND = 4;
  private static final double SHRINK_ABOVE_RATIO = 2.0;
  private static final double COLD_ABOVE_RATIO = 5.0;
  private static final double STRONGEST_SHRINK = 0.5;
  private static final int COLD_AFTER_SLOW_ANSWERS = 3;
  private static final double GROWTH = 0.25;
  private static final double USED_SHARE = 0.75;
  private static final double GROW_UP_TO_RATIO = 1.5;
  private static final double MINIMUM_BASELINE_NANOSECONDS = 500_000;
  private static final double BASELINE_WEIGHT = 0.3;
  private static final double ADAPTATION_WEIGHT = 0.02;

  private final int slots;
  private final int coldLimit;
  private final Map<String, Double> baselineNanoseconds = new HashMap<>();
  private double limit;
  private WarmUpState condition = WarmUpState.COLD;
  private int roundAnswers;
  private double roundRatios;
  private int roundPeak;
  private int consecutiveSlow;
  private long coldReturns;

  // -- construction

  private AdaptiveLimit(int slots, int coldLimit) {
    this.slots = slots;
    this.coldLimit = coldLimit;
    this.limit = coldLimit;
  }

  /**
   * Returns the limit of an upstream that has just started.
   *
   * @param slots the calls that it says it can run at once
   * @param coldLimit the calls that it bears when cold; at most the slots are used
   */
  static AdaptiveLimit of(int slots, int coldLimit) {
    if (slots < 1 || coldLimit < 1) {
      throw new IllegalArgumentException("slots and coldLimit must be at least 1");
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
    return condition;
  }

  @Override
  public long returnsToCold() {
    return coldReturns;
  }

  @Override
  public Duration usualLatency(String route) {
    double nanoseconds = baselineNanoseconds.getOrDefault(route, 0.0);
    return Duration.ofNanos((long) nanoseconds);
  }

  // -- events

  @Override
  public void recordAnswer(String route, Duration latency, int running) {
    requireNonNull(route, "route is null");
    double ratio = ratioToBaseline(route, (double) latency.toNanos());
    consecutiveSlow = ratio > COLD_ABOVE_RATIO ? consecutiveSlow + 1 : 0;
    if (consecutiveSlow >= COLD_AFTER_SLOW_ANSWERS && condition != WarmUpState.COLD) {
      returnToCold();
      return;
    }
    roundAnswers++;
    roundRatios += ratio;
    roundPeak = Math.max(roundPeak, running);
    if (roundAnswers >= Math.max(SHORTEST_ROUND, current())) {
      endRound();
    }
  }

  @Override
  public void recordFailure() {
    returnToCold();
  }

  @Override
  public void recordOverload() {
    limit = Math.max(coldLimit, limit * STRONGEST_SHRINK);
    startRound();
  }

  @Override
  public void reset() {
    baselineNanoseconds.clear();
    returnToCold();
  }

  @Override
  public void recordConnectionFailure() {
    returnToCold();
  }

  private void returnToCold() {
    if (condition != WarmUpState.COLD) {
      coldReturns++;
    }
    condition = WarmUpState.COLD;
    limit = coldLimit;
    consecutiveSlow = 0;
    startRound();
  }

  private double ratioToBaseline(String route, double nanoseconds) {
    double sample = Math.max(MINIMUM_BASELINE_NANOSECONDS, nanoseconds);
    Double held = baselineNanoseconds.get(route);
    if (held == null) {
      baselineNanoseconds.put(route, sample);
      return 1.0;
    }
    double ratio = sample / held;
    if (sample < held) {
      baselineNanoseconds.put(route, held + (sample - held) * BASELINE_WEIGHT);
    }
    return ratio;
  }

  private void endRound() {
    double ratio = roundRatios / roundAnswers;
    if (ratio > SHRINK_ABOVE_RATIO) {
      double factor = Math.max(STRONGEST_SHRINK, SHRINK_ABOVE_RATIO / ratio);
      limit = Math.max(coldLimit, limit * factor);
    } else if (ratio <= GROW_UP_TO_RATIO && roundPeak >= limit * USED_SHARE) {
      limit = Math.min(slots, limit + Math.max(1.0, limit * GROWTH));
    }
    if (ratio > GROW_UP_TO_RATIO && current() <= coldLimit) {
      adaptBaselines(ratio);
    }
    condition = conditionAfterRound(ratio);
    startRound();
  }

  private void adaptBaselines(double ratio) {
    double factor = 1 + (ratio - 1) * ADAPTATION_WEIGHT;
    baselineNanoseconds.replaceAll((route, baseline) -> baseline * factor);
  }

  private WarmUpState conditionAfterRound(double ratio) {
    if (current() >= slots || (condition == WarmUpState.WARM && current() > coldLimit)) {
      return WarmUpState.WARM;
    }
    if (current() > coldLimit) {
      return ratio > SHRINK_ABOVE_RATIO ? WarmUpState.WARM : WarmUpState.WARMING;
    }
    return WarmUpState.COLD;
  }

  private void startRound() {
    roundAnswers = 0;
    roundRatios = 0;
    roundPeak = 0;
  }
}
