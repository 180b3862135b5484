package org.parsleycart.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.standin.CallDriver;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the latency of calls through daemons and of direct calls, alternating in one run. */
@Command(
    name = "path",
    description = "Latency of calls through daemons and of direct calls, alternating in one run.",
    mixinStandardHelpOptions = true)
final class PathCommand implements Callable<Integer> {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration WARM_UP_DURATION = Duration.ofSeconds(10);
  private static final double WARM_UP_CALLS_PER_SECOND = 2500;

  @Option(names = "--direct", required = true, description = "Address of the upstream.")
  private String direct;

  @Option(
      names = "--beside",
      required = true,
      description = "Caller address of the daemon beside the upstream.")
  private String beside;

  @Option(
      names = "--far",
      required = true,
      description = "Caller address of a daemon two hops from the upstream.")
  private String far;

  @Option(names = "--path", defaultValue = "/scheduler/due")
  private String path;

  @Option(names = "--rate", defaultValue = "380", description = "Calls per second.")
  private double rate;

  @Option(names = "--rounds", defaultValue = "5")
  private int rounds;

  @Option(
      names = "--seconds",
      defaultValue = "4",
      description = "Duration of a round and address, in seconds.")
  private long seconds;

  @Option(names = "--threads", defaultValue = "16")
  private int threads;

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

  @Override
  public Integer call() {
    Table table =
        Table.of(
            "way", "round", "callsPerSecond", "medianMicroseconds", "p99Microseconds", "results");
    for (String address : List.of(direct, beside, far)) {
      runCalls(address, WARM_UP_CALLS_PER_SECOND, WARM_UP_DURATION);
    }
    for (int round = 0; round < rounds; round++) {
      measure(table, "direct", direct, round);
      measure(table, "one process", beside, round);
      measure(table, "two hops", far, round);
    }
    table.write(outputFolder, "path");
    return 0;
  }

  private CallDriver runCalls(String address, double callsPerSecond, Duration duration) {
    try (HttpClient client = HttpClient.start(2)) {
      CallDriver driver = new CallDriver(client, List.of(address), path, CALL_TIMEOUT);
      driver.run(callsPerSecond, duration, threads);
      return driver;
    }
  }

  private void measure(Table table, String pathKind, String address, int round) {
    CallDriver driver = runCalls(address, rate, Duration.ofSeconds(seconds));
    Histogram latencies = driver.latencies();
    table.row(
        pathKind,
        round,
        latencies.getTotalCount() / (double) seconds,
        latencies.getValueAtPercentile(50),
        latencies.getValueAtPercentile(99),
        driver.results().toString().replace(',', ' '));
  }
}
