package org.parsleycart.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the answered calls during the disruption of a zone, compared with two baselines. */
@Command(
    name = "zone",
    description =
        "Answered calls while an availability zone leaves and returns, with two baselines.",
    mixinStandardHelpOptions = true)
final class ZoneCommand implements Callable<Integer> {

  @Option(names = "--rate", defaultValue = "2000", description = "Calls per second.")
  private double rate;

  @Option(names = "--seeds", defaultValue = "5")
  private int seeds;

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

  @Override
  public Integer call() {
    Table table =
        Table.of(
            "move",
            "policy",
            "answeredPercent",
            "worstSecondPercent",
            "attemptsPerCall",
            "coldOverloads",
            "workInWithdrawnZone",
            "missedBySecondInFirstRun");
    for (ZoneDisruption disruption : ZoneDisruption.values()) {
      for (ZonePolicy policy : ZonePolicy.values()) {
        measure(table, disruption, policy);
      }
    }
    table.write(outputFolder, "zone");
    return 0;
  }

  private void measure(Table table, ZoneDisruption disruption, ZonePolicy policy) {
    List<ZoneTrial> trials =
        java.util.stream.LongStream.range(0, seeds)
            .mapToObj(seed -> new ZoneTrial(policy, disruption, rate, seed))
            .peek(ZoneTrial::run)
            .toList();
    table.row(
        disruption,
        policy,
        100
            * trials.stream()
                .map(ZoneTrial::statistics)
                .mapToDouble(CallStatistics::answeredShare)
                .average()
                .orElse(0),
        100
            * trials.stream()
                .map(ZoneTrial::statistics)
                .mapToDouble(CallStatistics::worstSecondShare)
                .min()
                .orElse(0),
        trials.stream()
            .map(ZoneTrial::statistics)
            .mapToDouble(CallStatistics::attemptsPerCall)
            .average()
            .orElse(0),
        trials.stream().mapToDouble(ZoneTrial::coldOverloads).average().orElse(0),
        trials.stream().mapToLong(ZoneTrial::callsStartedInWithdrawnZone).sum(),
        trials.get(0).statistics().secondsBelow(0.999));
  }
}
