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

/** Measures a fleet of running daemon processes: convergence, control bytes, memory and time. */
@Command(
    name = "fleet",
    description = "Convergence, control bytes, memory and processor time of running daemons.",
    mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Duration LONGEST = Duration.ofSeconds(60);
  private static final Duration PAUSE = Duration.ofMillis(20);
  private static final double TICKS_PER_SECOND = 100;
  private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
  private static final int FIRST_TIME_FIELD = 11;

  @Option(names = "--operators", split = ",", required = true, description = "Addresses.")
  private List<String> operators;

  @Option(names = "--processes", split = ",", required = true, description = "Process numbers.")
  private List<Long> processes;

  @Option(names = "--platform", required = true, description = "Address of the platform stand-in.")
  private String platform;

  @Option(names = "--changes", defaultValue = "10")
  private int changes;

  @Option(
      names = "--settle-seconds",
      defaultValue = "45",
      description = "Time for the news of the start to die down.")
  private long settleSeconds;

  @Option(names = "--quiet-seconds", defaultValue = "15")
  private long quietSeconds;

  @Option(names = "--out", defaultValue = "target/figures")
  private Path out;

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
    double sent = sum("parsleycart_control_sent_bytes_total");
    double received = sum("parsleycart_control_received_bytes_total");
    double time = processorSeconds();
    double reads = reads();
    LockSupport.parkNanos(Duration.ofSeconds(quietSeconds).toNanos());
    double each = operators.size() * (double) quietSeconds;
    double sentRate = (sum("parsleycart_control_sent_bytes_total") - sent) / each;
    double receivedRate = (sum("parsleycart_control_received_bytes_total") - received) / each;
    double timeShare = 100 * (processorSeconds() - time) / each;
    double readRate = (reads() - reads) / quietSeconds;
    double worst = 0;
    for (int change = 0; change < changes; change++) {
      worst = Math.max(worst, converge(change));
    }
    List<Double> resident =
        processes.stream().map(FleetCommand::residentMegabytes).sorted().toList();
    table.row(
        operators.size(),
        worst,
        sentRate,
        receivedRate,
        timeShare,
        resident.get(resident.size() / 2),
        resident.get(resident.size() - 1),
        readRate);
    table.write(out, "fleet-" + operators.size());
    return 0;
  }

  private void awaitMembers() {
    String wanted = "\"alive\":" + operators.size();
    long deadline = System.nanoTime() + LONGEST.toNanos();
    for (String operator : operators) {
      while (!get(operator, "/status").contains(wanted) && System.nanoTime() < deadline) {
        LockSupport.parkNanos(PAUSE.toNanos());
      }
    }
  }

  /** Applies a change and returns the seconds until all daemons say that it is in force. */
  private double converge(int change) {
    long start = System.nanoTime();
    String body = "zones: [{name: trial-" + change + ", labels: {number: \"" + change + "\"}}]";
    String operator = operators.get(change % operators.size());
    client.send(operator, HttpRequest.of("POST", "/changes").body(body), TIMEOUT);
    String version = number(get(operator, "/status"), "\"version\":(\\d+)");
    long deadline = start + LONGEST.toNanos();
    boolean everywhere = false;
    while (!everywhere && System.nanoTime() < deadline) {
      everywhere =
          operators.stream()
              .allMatch(
                  each ->
                      Long.parseLong(number(get(each, "/status"), "\"version\":(\\d+)"))
                          >= Long.parseLong(version));
    }
    return (System.nanoTime() - start) / 1e9;
  }

  private double sum(String metric) {
    return operators.stream()
        .mapToDouble(
            operator ->
                Double.parseDouble(
                    number(get(operator, "/metrics"), "(?m)^" + metric + " ([0-9.E+]+)$")))
        .sum();
  }

  private double reads() {
    return Double.parseDouble(number(get(platform, "/counts"), "\"reads\":(\\d+)"));
  }

  private double processorSeconds() {
    return processes.stream().mapToDouble(FleetCommand::processorSeconds).sum();
  }

  private static double processorSeconds(long process) {
    String status = read("/proc/" + process + "/stat");
    List<String> fields = List.of(status.substring(status.lastIndexOf(')') + 2).split(" ", -1));
    long ticks =
        Long.parseLong(fields.get(FIRST_TIME_FIELD))
            + Long.parseLong(fields.get(FIRST_TIME_FIELD + 1));
    return ticks / TICKS_PER_SECOND;
  }

  private static double residentMegabytes(long process) {
    Matcher matcher = RESIDENT.matcher(read("/proc/" + process + "/status"));
    return matcher.find() ? Long.parseLong(matcher.group(1)) / 1024.0 : 0;
  }

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new UncheckedIOException(file + " cannot be read", e);
    }
  }

  private String get(String address, String path) {
    Either<LinkError, HttpResponse> answer =
        client.send(address, HttpRequest.of("GET", path), TIMEOUT);
    return answer.fold(LinkError::message, HttpResponse::text);
  }

  private static String number(String text, String pattern) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    List<String> found = new ArrayList<>();
    while (matcher.find()) {
      found.add(matcher.group(1));
    }
    return found.isEmpty() ? "0" : found.get(0);
  }
}
