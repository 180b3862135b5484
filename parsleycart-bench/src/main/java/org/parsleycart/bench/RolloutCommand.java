package org.parsleycart.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures how rollouts of good and bad versions end, compared with fixed thresholds. */
@Command(
    name = "rollout",
    description = "How rollouts of good and bad versions end, compared with fixed thresholds.",
    mixinStandardHelpOptions = true)
final class RolloutCommand implements Callable<Integer> {

  @Option(names = "--runs", defaultValue = "200")
  private int runs;

  @Option(names = "--rate", defaultValue = "200", description = "Calls per second of the service.")
  private double rate;

  @Option(names = "--within-seconds", defaultValue = "180")
  private long withinSeconds;

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

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
    table.write(outputFolder, "rollout");
    return 0;
  }

  private void measure(Table table, RolloutCase trialCase, RolloutPolicy policy) {
    Duration completeWithin = Duration.ofSeconds(withinSeconds);
    List<RolloutTrial> trials =
        LongStream.range(0, runs)
            .parallel()
            .mapToObj(
                seed -> {
                  RolloutTrial trial =
                      new RolloutTrial(trialCase, policy, completeWithin, rate, seed);
                  trial.run(completeWithin.plusSeconds(1));
                  return trial;
                })
            .toList();
    List<Double> secondsToRollBack =
        trials.stream()
            .filter(RolloutTrial::isRolledBack)
            .map(RolloutTrial::secondsToRollBack)
            .sorted()
            .toList();
    table.row(
        trialCase,
        policy,
        runs,
        100.0 * trials.stream().filter(RolloutTrial::isRolledBack).count() / runs,
        100.0 * trials.stream().filter(RolloutTrial::isCompleted).count() / runs,
        secondsToRollBack.isEmpty() ? 0.0 : secondsToRollBack.get(secondsToRollBack.size() / 2),
        secondsToRollBack.isEmpty()
            ? 0.0
            : secondsToRollBack.get(secondsToRollBack.size() * 95 / 100),
        trials.stream().mapToLong(RolloutTrial::faultyCalls).average().orElse(0));
  }
}
