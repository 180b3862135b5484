package org.parsleycart.bench;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures convergence, control traffic, memory and processor time of running daemons. */
@Command(
    name = "fleet",
    description = "Convergence, control traffic, memory and processor time of running daemons.",
    mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  /** Clock ticks per second of the times in /proc/PID/stat. */
  private static final double TICKS_PER_SECOND = 100;

  private static final Pattern RESIDENT_KILOBYTES = Pattern.compile("VmRSS:\\s+(\\d+) kB");

  /** Index of the user time after the command name in /proc/PID/stat; system time is next. */
  private static final int USER_TIME_FIELD = 11;

  @Option(
      names = "--operators",
      split = ",",
      required = true,
      description = "Operator addresses of the daemons.")
  private List<String> operators;

  @Option(
      names = "--processes",
      split = ",",
      required = true,
      description = "Process identifiers of the daemons.")
  private List<Long> processes;

  @Option(names = "--platform", required = true, description = "Address of the platform stand-in.")
  private String platform;

  @Option(names = "--changes", defaultValue = "10")
  private int changes;

  @Option(
      names = "--settle-seconds",
      defaultValue = "45",
      description = "Time for the gossip of the start to subside before the measurement.")
  private long settleSeconds;

  @Option(names = "--quiet-seconds", defaultValue = "15")
  private long quietSeconds;

  @Option(names = "--out", paramLabel = "<out>", defaultValue = "target/figures")
  private Path outputFolder;

  private final HttpClient client = HttpClient.start(2);

  @Override
  public Integer call() {
    awaitMembers();
    Table table =
        Table.of(
            "daemons",
            "worstConvergenceSeconds",
            "sentBytesPerSecond",
            "receivedBytesPerSecond",
            "processorPercentOfCore",
            "medianResidentMegabytes",
            "largestResidentMegabytes",
            "platformReadsPerSecond");
    LockSupport.parkNanos(Duration.ofSeconds(settleSeconds).toNanos());
    double sentBefore = totalOf("parsleycart_control_sent_bytes_total");
    double receivedBefore = totalOf("parsleycart_control_received_bytes_total");
    double processorSecondsBefore = processorSeconds();
    double readsBefore = platformReads();
    LockSupport.parkNanos(Duration.ofSeconds(quietSeconds).toNanos());
    double daemonSeconds = operators.size() * (double) quietSeconds;
    double sentRate =
        (totalOf("parsleycart_control_sent_bytes_total") - sentBefore) / daemonSeconds;
    double receivedRate =
        (totalOf("parsleycart_control_received_bytes_total") - receivedBefore) / daemonSeconds;
    double processorPercent = 100 * (processorSeconds() - processorSecondsBefore) / daemonSeconds;
    double readRate = (platformReads() - readsBefore) / quietSeconds;
    double worstSeconds = 0;
    for (int change = 0; change < changes; change++) {
      worstSeconds = Math.max(worstSeconds, measureConvergence(change));
    }
    List<Double> residentSizes =
        processes.stream().map(FleetCommand::residentMegabytes).sorted().toList();
    table.row(
        operators.size(),
        worstSeconds,
        sentRate,
        receivedRate,
        processorPercent,
        residentSizes.get(residentSizes.size() / 2),
        residentSizes.get(residentSizes.size() - 1),
        readRate);
    table.write(outputFolder, "fleet-" + operators.size());
    return 0;
  }

  private void awaitMembers() {
    String expected = "\"alive\":" + operators.size();
    long deadline = System.nanoTime() + MAXIMUM_WAIT.toNanos();
    for (String operator : operators) {
      while (!get(operator, "/status").contains(expected) && System.nanoTime() < deadline) {
        LockSupport.parkNanos(POLL_INTERVAL.toNanos());
      }
    }
  }

  /**
   * Applies a change and returns the seconds until every daemon reports its version, at most about
   * {@link #MAXIMUM_WAIT}.
   */
  private double measureConvergence(int changeIndex) {
    long start = System.nanoTime();
    String body =
        "zones: [{name: trial-" + changeIndex + ", labels: {number: \"" + changeIndex + "\"}}]";
    String operator = operators.get(changeIndex % operators.size());
    client.send(operator, HttpRequest.of("POST", "/changes").body(body), REQUEST_TIMEOUT);
    String version = firstMatch(get(operator, "/status"), "\"version\":(\\d+)");
    long deadline = start + MAXIMUM_WAIT.toNanos();
    boolean converged = false;
    while (!converged && System.nanoTime() < deadline) {
      converged =
          operators.stream()
              .allMatch(
                  daemon ->
                      Long.parseLong(firstMatch(get(daemon, "/status"), "\"version\":(\\d+)"))
                          >= Long.parseLong(version));
    }
    return (System.nanoTime() - start) / 1e9;
  }

  private double totalOf(String metric) {
    return operators.stream()
        .mapToDouble(
            operator ->
                Double.parseDouble(
                    firstMatch(get(operator, "/metrics"), "(?m)^" + metric + " ([0-9.E+]+)$")))
        .sum();
  }

  private double platformReads() {
    return Double.parseDouble(firstMatch(get(platform, "/counts"), "\"reads\":(\\d+)"));
  }

  private double processorSeconds() {
    return processes.stream().mapToDouble(FleetCommand::processorSeconds).sum();
  }

  private static double processorSeconds(long processIdentifier) {
    String status = read("/proc/" + processIdentifier + "/stat");
    List<String> fields = List.of(status.substring(status.lastIndexOf(')') + 2).split(" ", -1));
    long ticks =
        Long.parseLong(fields.get(USER_TIME_FIELD))
            + Long.parseLong(fields.get(USER_TIME_FIELD + 1));
    return ticks / TICKS_PER_SECOND;
  }

  private static double residentMegabytes(long processIdentifier) {
    Matcher matcher = RESIDENT_KILOBYTES.matcher(read("/proc/" + processIdentifier + "/status"));
    return matcher.find() ? Long.parseLong(matcher.group(1)) / 1024.0 : 0;
  }

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new UncheckedIOException(file + " could not be read", e);
    }
  }

  /** Returns the body of the answer, or the error message if the request fails. */
  private String get(String address, String path) {
    Either<LinkError, HttpResponse> answer =
        client.send(address, HttpRequest.of("GET", path), REQUEST_TIMEOUT);
    return answer.fold(LinkError::message, HttpResponse::text);
  }

  /** Returns the first group of the first match, or "0" if nothing matches. */
  private static String firstMatch(String text, String pattern) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    List<String> found = new ArrayList<>();
    while (matcher.find()) {
      found.add(matcher.group(1));
    }
    return found.isEmpty() ? "0" : found.get(0);
  }
}
