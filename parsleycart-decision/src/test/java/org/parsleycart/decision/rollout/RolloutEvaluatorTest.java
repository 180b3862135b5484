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
  private static final Duration STEP = Duration.ofMillis(500);
  private static final Duration FAST = Duration.ofMillis(10);

  /** Drives a judge as the daemons would, with calls of both versions at one daemon. */
  private static final class Trial {
    private final Map<String, long[]> counts = new java.util.TreeMap<>();
    private final Random random;
    private Rollout rollout;
    private RolloutEvaluator judge;
    private Instant now = START;
    private int newLimit = 40;
    private double callsPerStep = 200;
    private double oldFailureRate = 0.001;
    private double newFailureRate = 0.001;
    private Duration newLatency = FAST;
    private Duration oldLatency = FAST;
    private String faultyRoute = "";
    private RolloutDecision last = new RolloutDecision.Hold("");

    Trial(long seed, Duration within) {
      random = new Random(seed);
      rollout =
          new Rollout(
              "move",
              Selector.of(Map.of("name", "katalog")),
              "v2",
              within,
              START.toEpochMilli(),
              0,
              RolloutPhase.PROGRESSING,
              "");
      judge =
          new RolloutEvaluator(
              rollout, VersionSelector.only("v1"), route -> Duration.ofMillis(500));
    }

    void step() {
      now = now.plus(STEP);
      for (int call = 0; call < callsPerStep; call++) {
        String route = random.nextInt(10) < 8 ? "rings" : "kits";
        boolean isNew = random.nextInt(1000) < rollout.sharePerMille();
        boolean faulty = isNew && (faultyRoute.isEmpty() || faultyRoute.equals(route));
        double rate = faulty ? newFailureRate : oldFailureRate;
        Duration latency = faulty ? newLatency : oldLatency;
        record(isNew ? "v2" : "v1", route, random.nextDouble() < rate, latency);
      }
      judge.observe(
          Map.of("daemon", reading()),
          Map.of(
              "daemon", List.of(new VersionLoad("v1", 10, 40), new VersionLoad("v2", 1, newLimit))),
          now);
      last = judge.decide(rollout, now);
      rollout = last.applyTo(rollout);
    }

    private void record(String version, String route, boolean failed, Duration latency) {
      long[] held =
          counts.computeIfAbsent(
              version + " " + route, unused -> new long[LatencyBuckets.COUNT + 2]);
      held[failed ? 1 : 0]++;
      if (!failed) {
        double noise = 0.8 + random.nextDouble() * 0.4;
        Duration noisy = Duration.ofNanos((long) (latency.toNanos() * noise));
        held[2 + LatencyBuckets.indexOf(noisy)]++;
      }
    }

    private List<CallCounts> reading() {
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
      return reading;
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
    Trial trial = new Trial(1, Duration.ofMinutes(2));

    trial.run(Duration.ofMinutes(2));

    assertThat(trial.rollout.phase()).isEqualTo(RolloutPhase.COMPLETED);
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
  void shouldTakeBackWithinTheSmallShareWhenTheVersionIsBadFromTheStart(
      double failureRate, long latencyMilliseconds, String route) {
    Trial trial = new Trial(2, Duration.ofMinutes(2));
    trial.newFailureRate = failureRate;
    trial.newLatency = Duration.ofMillis(latencyMilliseconds);
    trial.faultyRoute = route;
    int largest = 0;
    while (trial.rollout.phase().isActive() && trial.now.isBefore(START.plusSeconds(120))) {
      largest = Math.max(largest, trial.rollout.sharePerMille());
      trial.step();
    }

    assertThat(trial.rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    assertThat(trial.rollout.reason()).contains("route");
    assertThat(largest).isLessThanOrEqualTo(RolloutSchedule.SMALL_SHARE_PER_MILLE);
  }

  @ParameterizedTest
  @CsvSource({"1.0, 10", "0.1, 10", "0.001, 80"})
  void shouldTakeBackWithinFiveSecondsWhenTheFaultShowsLate(
      double failureRate, long latencyMilliseconds) {
    Trial trial = new Trial(3, Duration.ofMinutes(2));
    trial.run(Duration.ofSeconds(70));
    assertThat(trial.rollout.sharePerMille()).isGreaterThanOrEqualTo(250);

    trial.newFailureRate = failureRate;
    trial.newLatency = Duration.ofMillis(latencyMilliseconds);
    trial.run(Duration.ofSeconds(5));

    assertThat(trial.rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
  }

  @Test
  void shouldNotBlameTheNewVersionWhenBothFailAlike() {
    Trial trial = new Trial(4, Duration.ofMinutes(2));
    trial.run(Duration.ofSeconds(50));

    trial.oldFailureRate = 0.3;
    trial.newFailureRate = 0.3;
    trial.run(Duration.ofSeconds(20));

    assertThat(trial.rollout.phase()).isEqualTo(RolloutPhase.PROGRESSING);
  }

  @Test
  void shouldNotBlameTheNewVersionWhenBothSlowDownAlike() {
    Trial trial = new Trial(5, Duration.ofMinutes(2));
    trial.run(Duration.ofSeconds(50));

    trial.oldLatency = Duration.ofMillis(60);
    trial.newLatency = Duration.ofMillis(60);
    trial.run(Duration.ofSeconds(20));

    assertThat(trial.rollout.phase()).isNotEqualTo(RolloutPhase.ROLLED_BACK);
  }

  @Test
  void shouldTakeBackTheNewVersionThoughTheOldOneFailsLess() {
    Trial trial = new Trial(6, Duration.ofMinutes(2));
    trial.oldFailureRate = 0.05;
    trial.newFailureRate = 0.25;

    trial.run(Duration.ofMinutes(2));

    assertThat(trial.rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
  }

  @Test
  void shouldStayAtTheSmallShareAndTellWhenThereIsTooLittleTraffic() {
    Trial trial = new Trial(7, Duration.ofMinutes(2));
    trial.callsPerStep = 2;

    trial.run(Duration.ofMinutes(3));

    assertThat(trial.rollout.sharePerMille())
        .isLessThanOrEqualTo(RolloutSchedule.SMALL_SHARE_PER_MILLE);
    assertThat(trial.last).isInstanceOf(RolloutDecision.Hold.class);
    assertThat(((RolloutDecision.Hold) trial.last).reason())
        .contains("past its deadline")
        .contains("too little traffic");
  }

  @Test
  void shouldWaitWhenTheNewUpstreamsCannotBearMore() {
    Trial trial = new Trial(8, Duration.ofMinutes(2));
    trial.newLimit = 3;

    trial.run(Duration.ofMinutes(2));

    assertThat(trial.rollout.sharePerMille()).isLessThanOrEqualTo(100);
    assertThat(((RolloutDecision.Hold) trial.last).reason()).contains("cannot bear");
  }

  @Test
  void shouldStartNothingWhenThereIsNoUpstreamOfTheNewVersion() {
    Trial trial = new Trial(9, Duration.ofMinutes(2));
    trial.newLimit = 0;

    trial.run(Duration.ofMinutes(1));

    assertThat(trial.rollout.sharePerMille()).isZero();
  }

  @Test
  void shouldOnlyTakeLongerWhenAnotherJudgeStartsAnew() {
    Trial trial = new Trial(10, Duration.ofMinutes(2));
    trial.run(Duration.ofSeconds(50));
    trial.judge =
        new RolloutEvaluator(
            trial.rollout, VersionSelector.only("v1"), route -> Duration.ofMillis(500));

    trial.run(Duration.ofMinutes(2));

    assertThat(trial.rollout.phase())
        .as("%s at %d", trial.last, trial.rollout.sharePerMille())
        .isEqualTo(RolloutPhase.COMPLETED);
  }

  @Test
  void shouldRarelyTakeBackAGoodVersion() {
    long takenBack =
        IntStream.range(0, 100)
            .filter(
                seed -> {
                  Trial trial = new Trial(seed, Duration.ofMinutes(1));
                  trial.oldFailureRate = 0.01;
                  trial.newFailureRate = 0.01;
                  trial.callsPerStep = 100;
                  trial.run(Duration.ofMinutes(1));
                  return trial.rollout.phase() == RolloutPhase.ROLLED_BACK;
                })
            .count();

    assertThat(takenBack).isZero();
  }
}
