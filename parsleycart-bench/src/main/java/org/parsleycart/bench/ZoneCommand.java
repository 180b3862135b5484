package org.parsleycart.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures service while a zone leaves and returns, beside two baselines. */
@Command(
    name = "zone",
    description = "Service while an availability zone leaves and returns, beside two baselines.",
    mixinStandardHelpOptions = true)
final class ZoneCommand implements Callable<Integer> {

  @Option(names = "--rate", defaultValue = "2000", description = "Calls a second.")
  private double rate;

  @Option(names = "--seeds", defaultValue = "5")
  private int seeds;

  @Option(names = "--out", defaultValue = "target/figures")
  private Path out;

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
    for (ZoneMove move : ZoneMove.values()) {
      for (ZonePolicy policy : ZonePolicy.values()) {
        measure(table, move, policy);
      }
    }
    table.write(out, "zone");
    return 0;
  }

  private void measure(Table table, ZoneMove move, ZonePolicy policy) {
    List<ZoneTrial> trials =
        java.util.stream.LongStream.range(0, seeds)
            .mapToObj(seed -> new ZoneTrial(policy, move, rate, seed))
            .peek(ZoneTrial::run)
            .toList();
    table.row(
        move,
        policy,
        100
            * trials.stream()
                .map(ZoneTrial::record)
                .mapToDouble(ServiceRecord::answeredShare)
                .average()
                .orElse(0),
        100
            * trials.stream()
                .map(ZoneTrial::record)
                .mapToDouble(ServiceRecord::worstSecond)
                .min()
                .orElse(0),
        trials.stream()
            .map(ZoneTrial::record)
            .mapToDouble(ServiceRecord::attemptsPerCall)
            .average()
            .orElse(0),
        trials.stream().mapToDouble(ZoneTrial::coldOverloads).average().orElse(0),
        trials.stream().mapToLong(ZoneTrial::workInWithdrawnZone).sum(),
        trials.get(0).record().secondsBelow(0.999));
  }
}
