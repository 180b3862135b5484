package org.parsleycart.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures how fast versions spread and what control costs, against the number of daemons. */
@Command(
    name = "spread",
    description = "Convergence time and control bytes against the number of daemons.",
    mixinStandardHelpOptions = true)
final class SpreadCommand implements Callable<Integer> {
  private static final Duration LONGEST = Duration.ofSeconds(60);
  private static final Duration QUIET = Duration.ofSeconds(20);
  private static final double HERD = 0.25;
  private static final double DAY_SECONDS = 86_400;
  private static final double CHANGES_PER_DAY = 23_000;
  private static final double RESTARTS_PER_DAY_AND_DAEMON = 1_500.0 / 5_300;

  @Option(names = "--sizes", split = ",", defaultValue = "10,100,1000,5300")
  private List<Integer> sizes;

  @Option(names = "--seeds", defaultValue = "3")
  private int seeds;

  @Option(names = "--out", defaultValue = "target/figures")
  private Path out;

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
    table.write(out, "spread");
    return 0;
  }

  private static void measure(Table table, int size, long seed, double loss) {
    long start = System.nanoTime();
    SpreadTrial trial = new SpreadTrial(size, seed, loss);
    trial.run(Duration.ofSeconds(12));
    trial.resetCounts();
    trial.run(QUIET);
    double quiet = trial.bytesPerNode() / QUIET.toSeconds();
    double messages = trial.messagesPerNode() / QUIET.toSeconds();

    Duration worst = Duration.ZERO;
    trial.resetCounts();
    double changes = CHANGES_PER_DAY / DAY_SECONDS * QUIET.toSeconds();
    double restarts = RESTARTS_PER_DAY_AND_DAEMON * size / DAY_SECONDS * QUIET.toSeconds();
    double spent = 0;
    for (int change = 0; change < Math.round(changes); change++) {
      Duration taken = trial.spreadNext(LONGEST);
      worst = taken.compareTo(worst) > 0 ? taken : worst;
      spent += taken.toMillis() / 1000.0;
    }
    for (int restart = 0; restart < Math.round(restarts); restart++) {
      trial.churn();
    }
    double rest = Math.max(0, QUIET.toSeconds() - spent);
    trial.run(Duration.ofMillis((long) (rest * 1000)));
    double loaded = trial.bytesPerNode() / (spent + rest);

    trial.kill(HERD);
    trial.resetCounts();
    Duration herd = trial.spreadNext(LONGEST);
    Duration settle = Duration.ofSeconds(20).minus(herd);
    trial.run(settle.isNegative() ? Duration.ZERO : settle);
    double herdBytes = trial.bytesPerNode() / Math.max(20.0, herd.toMillis() / 1000.0);
    table.row(
        size,
        seed,
        loss * 100,
        worst.toMillis() / 1000.0,
        quiet,
        loaded,
        messages,
        herd.toMillis() / 1000.0,
        herdBytes,
        trial.deadStillListed(),
        (System.nanoTime() - start) / 1e9);
  }
}
