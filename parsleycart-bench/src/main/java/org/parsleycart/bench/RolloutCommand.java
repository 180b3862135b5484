package org.parsleycart.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures how rollouts of good and bad versions end, beside fixed thresholds. */
@Command(
    name = "rollout",
    description = "How rollouts of good and bad versions end, beside fixed thresholds.",
    mixinStandardHelpOptions = true)
final class RolloutCommand implements Callable<Integer> {

  @Option(names = "--runs", defaultValue = "200")
  private int runs;

  @Option(names = "--rate", defaultValue = "200", description = "Calls a second of the service.")
  private double rate;

  @Option(names = "--within-seconds", defaultValue = "180")
  private long withinSeconds;

  @Option(names = "--out", defaultValue = "target/figures")
  private Path out;

  @Override
  public Integer call() {
    Table table =
        Table.of(
            "case",
            "policy",
            "runs",
            "takenBackPercent",
            "doneInTimePercent",
            "medianSecondsToTakeBack",
            "p95SecondsToTakeBack",
            "meanBadCallsMet");
    for (RolloutCase trialCase : RolloutCase.values()) {
      for (RolloutPolicy policy : RolloutPolicy.values()) {
        measure(table, trialCase, policy);
      }
    }
    table.write(out, "rollout");
    return 0;
  }

  private void measure(Table table, RolloutCase trialCase, RolloutPolicy policy) {
    Duration within = Duration.ofSeconds(withinSeconds);
    List<RolloutTrial> trials =
        LongStream.range(0, runs)
            .parallel()
            .mapToObj(
                seed -> {
                  RolloutTrial trial = new RolloutTrial(trialCase, policy, within, rate, seed);
                  trial.run(within.plusSeconds(1));
                  return trial;
                })
            .toList();
    List<Double> times =
        trials.stream()
            .filter(RolloutTrial::isTakenBack)
            .map(RolloutTrial::secondsToTakeBack)
            .sorted()
            .toList();
    table.row(
        trialCase,
        policy,
        runs,
        100.0 * trials.stream().filter(RolloutTrial::isTakenBack).count() / runs,
        100.0 * trials.stream().filter(RolloutTrial::isDone).count() / runs,
        times.isEmpty() ? 0.0 : times.get(times.size() / 2),
        times.isEmpty() ? 0.0 : times.get(times.size() * 95 / 100),
        trials.stream().mapToLong(RolloutTrial::badCallsMet).average().orElse(0));
  }
}
