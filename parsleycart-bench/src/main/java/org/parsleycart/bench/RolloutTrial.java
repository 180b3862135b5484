package org.parsleycart.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.message.VersionLoad;
import org.parsleycart.decision.rollout.LatencyBuckets;
import org.parsleycart.decision.rollout.RolloutDecision;
import org.parsleycart.decision.rollout.RolloutEvaluator;
import org.parsleycart.decision.routing.VersionSelector;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Selector;

/** Simulates one rollout of a version that behaves as its {@link RolloutCase} describes. */
final class RolloutTrial {
  private static final Duration STEP_DURATION = Duration.ofMillis(500);
  private static final Duration LATENCY_OBJECTIVE = Duration.ofMillis(500);
  private static final double MEDIAN_LATENCY_MILLISECONDS = 10;
  private static final double USUAL_FAILURE_RATE = 0.002;
  private static final List<String> ROUTES = List.of("rings", "kits", "orders");

  private final RolloutCase trialCase;
  private final RolloutPolicy policy;
  private final Random random;
  private final double callsPerSecond;
  private final Instant start = Instant.ofEpochMilli(1_000_000);

  /**
   * Counters by a version of two characters, a space and a route: answered calls, failed calls, and
   * answered calls by latency bucket.
   */
  private final Map<String, long[]> counters = new TreeMap<>();

  private final RolloutEvaluator evaluator;
  private final ThresholdEvaluator thresholdEvaluator = new ThresholdEvaluator();
  private Rollout rollout;
  private Instant now = start;
  private Optional<Instant> firstFaultAt = Optional.empty();
  private long faultyCalls;

  RolloutTrial(
      RolloutCase trialCase,
      RolloutPolicy policy,
      Duration completeWithin,
      double callsPerSecond,
      long seed) {
    this.trialCase = trialCase;
    this.policy = policy;
    this.callsPerSecond = callsPerSecond;
    this.random = new Random(seed);
    this.rollout =
        new Rollout(
            "trial",
            Selector.of(Map.of("name", "katalog")),
            "v2",
            completeWithin,
            start.toEpochMilli(),
            0,
            RolloutPhase.PROGRESSING,
            "");
    this.evaluator =
        new RolloutEvaluator(rollout, VersionSelector.only("v1"), route -> LATENCY_OBJECTIVE);
  }

  // -- run

  void run(Duration maximumDuration) {
    while (rollout.phase().isActive() && now.isBefore(start.plus(maximumDuration))) {
      now = now.plus(STEP_DURATION);
      int calls = poisson(callsPerSecond * STEP_DURATION.toMillis() / 1000);
      for (int call = 0; call < calls; call++) {
        simulateCall();
      }
      decide();
    }
  }

  private void simulateCall() {
    String route = ROUTES.get(random.nextInt(10) < 6 ? 0 : 1 + random.nextInt(2));
    boolean isNew = random.nextInt(Rollout.FULL_SHARE_PER_MILLE) < rollout.sharePerMille();
    double elapsedShare =
        (double) Duration.between(start, now).toNanos() / rollout.completeWithin().toNanos();
    RolloutCase.Behaviour behaviour =
        trialCase.behaviour(isNew, route, elapsedShare, rollout.sharePerMille());
    boolean failed = random.nextDouble() < USUAL_FAILURE_RATE + behaviour.failureRate();
    double latencyNoise = Math.exp(random.nextGaussian() * 0.3);
    double milliseconds = MEDIAN_LATENCY_MILLISECONDS * behaviour.latencyFactor() * latencyNoise;
    boolean faulty = isNew && trialCase.isBad() && behaviour.isFaulty();
    if (faulty) {
      faultyCalls++;
      firstFaultAt = firstFaultAt.or(() -> Optional.of(now));
    }
    long[] counter =
        counters.computeIfAbsent(
            (isNew ? "v2" : "v1") + " " + route, unused -> new long[LatencyBuckets.COUNT + 2]);
    counter[failed ? 1 : 0]++;
    if (!failed) {
      Duration latency = Duration.ofNanos((long) (milliseconds * 1e6));
      counter[2 + LatencyBuckets.indexOf(latency)]++;
    }
  }

  /** Returns a random number with a Poisson distribution of the given mean. */
  private int poisson(double mean) {
    double limit = Math.exp(-mean);
    int count = 0;
    double product = random.nextDouble();
    while (product > limit) {
      count++;
      product *= random.nextDouble();
    }
    return count;
  }

  private void decide() {
    List<CallCounts> callCounts = new ArrayList<>();
    counters.forEach(
        (key, counter) ->
            callCounts.add(
                new CallCounts(
                    key.substring(0, 2),
                    key.substring(3),
                    counter[0],
                    counter[1],
                    IntStream.range(2, counter.length)
                        .mapToObj(index -> counter[index])
                        .toList())));
    RolloutDecision decision;
    if (policy == RolloutPolicy.PRODUCT) {
      List<VersionLoad> loads = List.of(new VersionLoad("v1", 3, 24), new VersionLoad("v2", 1, 24));
      evaluator.observe(Map.of("daemon", callCounts), Map.of("daemon", loads), now);
      decision = evaluator.decide(rollout, now);
    } else {
      decision = thresholdEvaluator.decide(rollout, callCounts, now);
    }
    rollout = decision.applyTo(rollout);
  }

  // -- results

  boolean isRolledBack() {
    return rollout.phase() == RolloutPhase.ROLLED_BACK;
  }

  boolean isCompleted() {
    return rollout.phase() == RolloutPhase.COMPLETED;
  }

  long faultyCalls() {
    return faultyCalls;
  }

  /** Returns the seconds from the first faulty call to the end of the rollout, or 0 without one. */
  double secondsToRollBack() {
    return firstFaultAt
        .map(faultAt -> Duration.between(faultAt, now).toMillis() / 1000.0)
        .orElse(0.0);
  }
}
