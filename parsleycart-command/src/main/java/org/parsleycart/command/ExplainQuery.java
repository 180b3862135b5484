package org.parsleycart.command;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import picocli.CommandLine.Option;

/** The options that describe a request that has not been made. */
final class ExplainQuery {
  @Option(names = "--path", required = true, description = "The path, without its query.")
  private String path;

  @Option(names = "--host", description = "The host that the request names.")
  private String host;

  @Option(names = "--method", description = "The method; routes do not depend on it.")
  private String method;

  @Option(
      names = "--zone",
      description = "The zone in which the request arrives; that of the daemon if not given.")
  private String zone;

  @Option(names = "--organisation", description = "The organisation of the caller.")
  private String organisation;

  @Option(names = "--deadline", description = "How long the caller waits, such as 800ms.")
  private Duration deadline;

  @Option(
      names = "--tried",
      split = ",",
      paramLabel = "UPSTREAM",
      description = "Upstreams that the request has already tried.")
  private List<String> tried = List.of();

  /** Returns the parameters of the question to a daemon. */
  String toParameters() {
    Map<String, String> parameters = new LinkedHashMap<>();
    parameters.put("path", path);
    putIfGiven(parameters, "host", host);
    putIfGiven(parameters, "method", method);
    putIfGiven(parameters, "zone", zone);
    putIfGiven(parameters, "organisation", organisation);
    if (deadline != null) {
      parameters.put("deadline", Long.toString(deadline.toMillis()));
    }
    if (!tried.isEmpty()) {
      parameters.put("tried", String.join(",", tried));
    }
    return parameters.entrySet().stream()
        .map(entry -> entry.getKey() + "=" + DaemonCommand.encode(entry.getValue()))
        .collect(Collectors.joining("&", "?", ""));
  }

  private static void putIfGiven(Map<String, String> parameters, String name, String value) {
    if (value != null) {
      parameters.put(name, value);
    }
  }
}
