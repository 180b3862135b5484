package org.parsleycart.bench;

import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.Callable;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs {@link DecisionBenchmarks} in this process and writes the mean times. */
@Command(
    name = "decisions",
    description = "Mean time of single decisions.",
    mixinStandardHelpOptions = true)
final class DecisionsCommand implements Callable<Integer> {
  private static final int ITERATIONS = 3;

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

  @Override
  public Integer call() throws RunnerException {
    Options options =
        new OptionsBuilder()
            .include(DecisionBenchmarks.class.getName())
            .forks(0)
            .warmupIterations(ITERATIONS)
            .warmupTime(TimeValue.milliseconds(400))
            .measurementIterations(ITERATIONS)
            .measurementTime(TimeValue.milliseconds(600))
            .verbosity(VerboseMode.SILENT)
            .build();
    Collection<RunResult> results = new Runner(options).run();
    Table table = Table.of("decision", "size", "microseconds", "error");
    for (RunResult result : results) {
      String name = result.getParams().getBenchmark();
      table.row(
          name.substring(name.lastIndexOf('.') + 1),
          result.getParams().getParam("size"),
          result.getPrimaryResult().getScore(),
          result.getPrimaryResult().getScoreError());
    }
    table.write(outputFolder, "decisions");
    return 0;
  }
}
