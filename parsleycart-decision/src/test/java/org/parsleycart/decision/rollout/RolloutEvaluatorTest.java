package org.parsleycart.decision.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.message.VersionLoad;
import org.parsleycart.decision.routing.VersionSelector;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Selector;

class RolloutEvaluatorTest {
  private static final Instant START = Instant.ofEpochMilli(1_000_000);
  private static final Duration STEP_INTERVAL = Duration.ofMillis(500);
  private static final Duration USUAL_LATENCY = Duration.ofMillis(10);

  /** Simulates a rollout: feeds an evaluator with the calls of both versions at one daemon. */
  private static final class SimulatedRollout {
    private final Map<String, long[]> counts = new java.util.TreeMap<>();
    private final Random random;
    private Rollout rollout;
    private RolloutEvaluator evaluator;
    private Instant now = START;
    private int newVersionLimit = 40;
    private double callsPerStep = 200;
    private double oldVersionFailureRate = 0.001;
    private double newVersionFailureRate = 0.001;
    private Duration newVersionLatency = USUAL_LATENCY;
    private Duration oldVersionLatency = USUAL_LATENCY;
    private String faultyRoute = "";
    private RolloutDecision lastDecision = new RolloutDecision.Hold("");

    SimulatedRollout(long seed, Duration completeWithin) {
      random = new Random(seed);
      rollout =
          new Rollout(
              "move",
              Selector.of(Map.of("name", "katalog")),
              "v2",
              completeWithin,
              START.toEpochMilli(),
              0,
              RolloutPhase.PROGRESSING,
              "");
      evaluator =
          new RolloutEvaluator(
              rollout, VersionSelector.only("v1"), route -> Duration.ofMillis(500));
    }

    void step() {
      now = now.plus(STEP_INTERVAL);
      for (int call = 0; call < callsPerStep; call++) {
        String route = random.nextInt(10) < 8 ? "rings" : "kits";
        boolean isNewVersion = random.nextInt(1000) < rollout.sharePerMille();
        boolean isFaulty = isNewVersion && (faultyRoute.isEmpty() || faultyRoute.equals(route));
        double rate = isFaulty ? newVersionFailureRate : oldVersionFailureRate;
        Duration latency = isFaulty ? newVersionLatency : oldVersionLatency;
        record(isNewVersion ? "v2" : "v1", route, random.nextDouble() < rate, latency);
      }
      evaluator.observe(
          Map.of("daemon", currentReading()),
          Map.of(
              "daemon",
              List.of(new VersionLoad("v1", 10, 40), new VersionLoad("v2", 1, newVersionLimit))),
          now);
      lastDecision = evaluator.decide(rollout, now);
      rollout = lastDecision.applyTo(rollout);
    }

    private void record(String version, String route, boolean isFailure, Duration latency) {
      long[] callCounts =
          counts.computeIfAbsent(
              version + " " + route, unused -> new long[LatencyBuckets.COUNT + 2]);
      callCounts[isFailure ? 1 : 0]++;
      if (!isFailure) {
        double jitterFactor = 0.8 + random.nextDouble() * 0.4;
        Duration jitteredLatency = Duration.ofNanos((long) (latency.toNanos() * jitterFactor));
        callCounts[2 + LatencyBuckets.indexOf(jitteredLatency)]++;
      }
    }

    private List<CallCounts> currentReading() {
      List<CallCounts> currentReading = new ArrayList<>();
      counts.forEach(
          (key, callCounts) ->
              currentReading.add(
                  new CallCounts(
                      key.substring(0, 2),
                      key.substring(3),
                      callCounts[0],
                      callCounts[1],
                      IntStream.range(2, callCounts.length)
                          .mapToObj(index -> callCounts[index])
                          .toList())));
      return currentReading;
    }

    void run(Duration duration) {
      Instant end = now.plus(duration);
      while (now.isBefore(end) && rollout.phase().isActive()) {
        step();
      }
    }
  }

  @Test
  void shouldCompleteByTheDeadlineWhenTheVersionIsGood() {
    SimulatedRollout simulation = new SimulatedRollout(1, Duration.ofMinutes(2));

    simulation.run(Duration.ofMinutes(2));

    assertThat(simulation.rollout.phase()).isEqualTo(RolloutPhase.COMPLETED);
  }

  @ParameterizedTest
  @CsvSource({
    "1.0, 10, ''",
    "0.3, 10, ''",
    "0.1, 10, ''",
    "0.2, 10, kits",
    "0.001, 80, ''",
    "0.001, 80, kits"
  })
  void shouldRollBackWithinTheUnprovenShareWhenTheVersionIsBadFromTheStart(
      double failureRate, long latencyMilliseconds, String route) {
    SimulatedRollout simulation = new SimulatedRollout(2, Duration.ofMinutes(2));
    simulation.newVersionFailureRate = failureRate;
    simulation.newVersionLatency = Duration.ofMillis(latencyMilliseconds);
    simulation.faultyRoute = route;
    int largestShare = 0;
    while (simulation.rollout.phase().isActive()
        && simulation.now.isBefore(START.plusSeconds(120))) {
      largestShare = Math.max(largestShare, simulation.rollout.sharePerMille());
      simulation.step();
    }

    assertThat(simulation.rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat(simulation.rollout.reason()).contains("route");
    assertThat(largestShare).isLessThanOrEqualTo(RolloutSchedule.MAXIMUM_UNPROVEN_SHARE_PER_MILLE);
  }

  @ParameterizedTest
  @CsvSource({"1.0, 10", "0.1, 10", "0.001, 80"})
  void shouldRollBackWithinFiveSecondsWhenTheFaultAppearsLate(
      double failureRate, long latencyMilliseconds) {
    SimulatedRollout simulation = new SimulatedRollout(3, Duration.ofMinutes(2));
    simulation.run(Duration.ofSeconds(70));
    assertThat(simulation.rollout.sharePerMille()).isGreaterThanOrEqualTo(250);

    simulation.newVersionFailureRate = failureRate;
    simulation.newVersionLatency = Duration.ofMillis(latencyMilliseconds);
    simulation.run(Duration.ofSeconds(5));

    assertThat(simulation.rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
  }

  @Test
  void shouldNotRollBackWhenBothVersionsFailEqually() {
    SimulatedRollout simulation = new SimulatedRollout(4, Duration.ofMinutes(2));
    simulation.run(Duration.ofSeconds(50));

    simulation.oldVersionFailureRate = 0.3;
    simulation.newVersionFailureRate = 0.3;
    simulation.run(Duration.ofSeconds(20));

    assertThat(simulation.rollout.phase()).isEqualTo(RolloutPhase.PROGRESSING);
  }

  @Test
  void shouldNotRollBackWhenBothVersionsSlowDownEqually() {
    SimulatedRollout simulation = new SimulatedRollout(5, Duration.ofMinutes(2));
    simulation.run(Duration.ofSeconds(50));

    simulation.oldVersionLatency = Duration.ofMillis(60);
    simulation.newVersionLatency = Duration.ofMillis(60);
    simulation.run(Duration.ofSeconds(20));

    assertThat(simulation.rollout.phase()).isNotEqualTo(RolloutPhase.ROLLED_BACK);
  }

  @Test
  void shouldRollBackWhenTheNewVersionFailsMoreThanAnUnreliableOldOne() {
    SimulatedRollout simulation = new SimulatedRollout(6, Duration.ofMinutes(2));
    simulation.oldVersionFailureRate = 0.05;
    simulation.newVersionFailureRate = 0.25;

    simulation.run(Duration.ofMinutes(2));

    assertThat(simulation.rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
  }

  @Test
  void shouldHoldTheUnprovenShareWithAReasonWhenThereIsTooLittleTraffic() {
    SimulatedRollout simulation = new SimulatedRollout(7, Duration.ofMinutes(2));
    simulation.callsPerStep = 2;

    simulation.run(Duration.ofMinutes(3));

    assertThat(simulation.rollout.sharePerMille())
        .isLessThanOrEqualTo(RolloutSchedule.MAXIMUM_UNPROVEN_SHARE_PER_MILLE);
    assertThat(simulation.lastDecision).isInstanceOf(RolloutDecision.Hold.class);
    assertThat(((RolloutDecision.Hold) simulation.lastDecision).reason())
        .contains("past its deadline")
        .contains("too little traffic");
  }

  @Test
  void shouldHoldWhenTheNewUpstreamsLackCapacity() {
    SimulatedRollout simulation = new SimulatedRollout(8, Duration.ofMinutes(2));
    simulation.newVersionLimit = 3;

    simulation.run(Duration.ofMinutes(2));

    assertThat(simulation.rollout.sharePerMille()).isLessThanOrEqualTo(100);
    assertThat(((RolloutDecision.Hold) simulation.lastDecision).reason()).contains("cannot bear");
  }

  @Test
  void shouldStayAtZeroShareWhenThereIsNoUpstreamOfTheNewVersion() {
    SimulatedRollout simulation = new SimulatedRollout(9, Duration.ofMinutes(2));
    simulation.newVersionLimit = 0;

    simulation.run(Duration.ofMinutes(1));

    assertThat(simulation.rollout.sharePerMille()).isZero();
  }

  @Test
  void shouldCompleteWhenANewEvaluatorTakesOver() {
    SimulatedRollout simulation = new SimulatedRollout(10, Duration.ofMinutes(2));
    simulation.run(Duration.ofSeconds(50));
    simulation.evaluator =
        new RolloutEvaluator(
            simulation.rollout, VersionSelector.only("v1"), route -> Duration.ofMillis(500));

    simulation.run(Duration.ofMinutes(2));

    assertThat(simulation.rollout.phase())
        .as("%s at %d", simulation.lastDecision, simulation.rollout.sharePerMille())
        .isEqualTo(RolloutPhase.COMPLETED);
  }

  @Test
  void shouldNotRollBackWhenTheVersionIsGood() {
    long rolledBack =
        IntStream.range(0, 100)
            .filter(
                seed -> {
                  SimulatedRollout simulation = new SimulatedRollout(seed, Duration.ofMinutes(1));
                  simulation.oldVersionFailureRate = 0.01;
                  simulation.newVersionFailureRate = 0.01;
                  simulation.callsPerStep = 100;
                  simulation.run(Duration.ofMinutes(1));
                  return simulation.rollout.phase() == RolloutPhase.ROLLED_BACK;
                })
            .count();

    assertThat(rolledBack).isZero();
  }
}
