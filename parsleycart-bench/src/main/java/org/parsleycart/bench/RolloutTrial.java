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

/** One rollout of a version that is good or bad in a given way, judged step by step. */
final class RolloutTrial {
  private static final Duration STEP = Duration.ofMillis(500);
  private static final Duration SLOW_OBJECTIVE = Duration.ofMillis(500);
  private static final double USUAL_MILLISECONDS = 10;
  private static final double OLD_FAILURE_RATE = 0.002;
  private static final List<String> ROUTES = List.of("rings", "kits", "orders");

  private final RolloutCase trialCase;
  private final RolloutPolicy policy;
  private final Random random;
  private final double callsPerSecond;
  private final Instant start = Instant.ofEpochMilli(1_000_000);
  private final Map<String, long[]> counts = new TreeMap<>();
  private final RolloutEvaluator judge;
  private final ThresholdJudge thresholds = new ThresholdJudge();
  private Rollout rollout;
  private Instant now = start;
  private Optional<Instant> faultShownAt = Optional.empty();
  private long badCallsMet;

  RolloutTrial(
      RolloutCase trialCase,
      RolloutPolicy policy,
      Duration within,
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
            within,
            start.toEpochMilli(),
            0,
            RolloutPhase.PROGRESSING,
            "");
    this.judge = new RolloutEvaluator(rollout, VersionSelector.only("v1"), route -> SLOW_OBJECTIVE);
  }

  // -- run

  void run(Duration longest) {
    while (rollout.phase().isActive() && now.isBefore(start.plus(longest))) {
      now = now.plus(STEP);
      int calls = poisson(callsPerSecond * STEP.toMillis() / 1000);
      for (int call = 0; call < calls; call++) {
        call();
      }
      decide();
    }
  }

  private void call() {
    String route = ROUTES.get(random.nextInt(10) < 6 ? 0 : 1 + random.nextInt(2));
    boolean isNew = random.nextInt(Rollout.FULL_SHARE_PER_MILLE) < rollout.sharePerMille();
    double part =
        (double) Duration.between(start, now).toNanos() / rollout.completeWithin().toNanos();
    RolloutCase.Behaviour behaviour =
        trialCase.behaviour(isNew, route, part, rollout.sharePerMille());
    boolean failed = random.nextDouble() < OLD_FAILURE_RATE + behaviour.failureRate();
    double noise = Math.exp(random.nextGaussian() * 0.3);
    double milliseconds = USUAL_MILLISECONDS * behaviour.slowness() * noise;
    boolean bad = isNew && trialCase.isBad() && behaviour.isFaulty();
    if (bad) {
      badCallsMet++;
      faultShownAt = faultShownAt.or(() -> Optional.of(now));
    }
    long[] held =
        counts.computeIfAbsent(
            (isNew ? "v2" : "v1") + " " + route, unused -> new long[LatencyBuckets.COUNT + 2]);
    held[failed ? 1 : 0]++;
    if (!failed) {
      Duration latency = Duration.ofNanos((long) (milliseconds * 1e6));
      held[2 + LatencyBuckets.indexOf(latency)]++;
    }
  }

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
    List<CallCounts> reading = new ArrayList<>();
    counts.forEach(
        (key, held) ->
            reading.add(
                new CallCounts(
                    key.substring(0, 2),
                    key.substring(3),
                    held[0],
                    held[1],
                    IntStream.range(2, held.length).mapToObj(index -> held[index]).toList())));
    RolloutDecision decision;
    if (policy == RolloutPolicy.PRODUCT) {
      List<VersionLoad> loads = List.of(new VersionLoad("v1", 3, 24), new VersionLoad("v2", 1, 24));
      judge.observe(Map.of("daemon", reading), Map.of("daemon", loads), now);
      decision = judge.decide(rollout, now);
    } else {
      decision = thresholds.decide(rollout, reading, now);
    }
    rollout = decision.applyTo(rollout);
  }

  // -- results

  boolean isTakenBack() {
    return rollout.phase() == RolloutPhase.ROLLED_BACK;
  }

  boolean isDone() {
    return rollout.phase() == RolloutPhase.COMPLETED;
  }

  long badCallsMet() {
    return badCallsMet;
  }

  /** Returns the seconds from the first faulty call to the end of the rollout. */
  double secondsToTakeBack() {
    return faultShownAt.map(shown -> Duration.between(shown, now).toMillis() / 1000.0).orElse(0.0);
  }
}
