package org.parsleycart.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures convergence time and control traffic against the number of simulated daemons. */
@Command(
    name = "spread",
    description = "Convergence time and control traffic against the number of simulated daemons.",
    mixinStandardHelpOptions = true)
final class SpreadCommand implements Callable<Integer> {
  private static final Duration MAXIMUM_CONVERGENCE = Duration.ofSeconds(60);
  private static final Duration MEASURED_PERIOD = Duration.ofSeconds(20);

  /** The share of daemons that fail simultaneously. */
  private static final double HERD_SHARE = 0.25;

  private static final double DAY_SECONDS = 86_400;
  private static final double CHANGES_PER_DAY = 23_000;
  private static final double RESTARTS_PER_DAY_AND_DAEMON = 1_500.0 / 5_300;

  @Option(names = "--sizes", split = ",", defaultValue = "10,100,1000,5300")
  private List<Integer> sizes;

  @Option(names = "--seeds", defaultValue = "3")
  private int seeds;

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

  @Override
  public Integer call() {
    Table table =
        Table.of(
            "daemons",
            "seed",
            "lossPercent",
            "convergenceSeconds",
            "quietBytesPerSecond",
            "loadedBytesPerSecond",
            "messagesPerSecond",
            "herdConvergenceSeconds",
            "herdBytesPerSecond",
            "deadStillListedAfter20s",
            "wallSeconds");
    for (int size : sizes) {
      for (int seed = 0; seed < seeds; seed++) {
        measure(table, size, seed, 0.01);
      }
    }
    table.write(outputFolder, "spread");
    return 0;
  }

  private static void measure(Table table, int size, long seed, double lossRate) {
    long startNanos = System.nanoTime();
    SpreadTrial trial = new SpreadTrial(size, seed, lossRate);
    trial.run(Duration.ofSeconds(12));
    trial.resetCounts();
    trial.run(MEASURED_PERIOD);
    double quietBytesPerSecond = trial.bytesPerNode() / MEASURED_PERIOD.toSeconds();
    double messagesPerSecond = trial.messagesPerNode() / MEASURED_PERIOD.toSeconds();

    Duration worstConvergence = Duration.ZERO;
    trial.resetCounts();
    double changeCount = CHANGES_PER_DAY / DAY_SECONDS * MEASURED_PERIOD.toSeconds();
    double restartCount =
        RESTARTS_PER_DAY_AND_DAEMON * size / DAY_SECONDS * MEASURED_PERIOD.toSeconds();
    double totalConvergenceSeconds = 0;
    for (int change = 0; change < Math.round(changeCount); change++) {
      Duration convergence = trial.spreadNextVersion(MAXIMUM_CONVERGENCE);
      worstConvergence =
          convergence.compareTo(worstConvergence) > 0 ? convergence : worstConvergence;
      totalConvergenceSeconds += convergence.toMillis() / 1000.0;
    }
    for (int restart = 0; restart < Math.round(restartCount); restart++) {
      trial.announceRestart();
    }
    double remainingSeconds = Math.max(0, MEASURED_PERIOD.toSeconds() - totalConvergenceSeconds);
    trial.run(Duration.ofMillis((long) (remainingSeconds * 1000)));
    double loadedBytesPerSecond =
        trial.bytesPerNode() / (totalConvergenceSeconds + remainingSeconds);

    trial.kill(HERD_SHARE);
    trial.resetCounts();
    Duration herdConvergence = trial.spreadNextVersion(MAXIMUM_CONVERGENCE);
    Duration remainingPeriod = Duration.ofSeconds(20).minus(herdConvergence);
    trial.run(remainingPeriod.isNegative() ? Duration.ZERO : remainingPeriod);
    double herdBytesPerSecond =
        trial.bytesPerNode() / Math.max(20.0, herdConvergence.toMillis() / 1000.0);
    table.row(
        size,
        seed,
        lossRate * 100,
        worstConvergence.toMillis() / 1000.0,
        quietBytesPerSecond,
        loadedBytesPerSecond,
        messagesPerSecond,
        herdConvergence.toMillis() / 1000.0,
        herdBytesPerSecond,
        trial.deadStillListedShare(),
        (System.nanoTime() - startNanos) / 1e9);
  }
}
