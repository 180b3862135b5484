package org.parsleycart.daemon.operator;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A question where a request would go.
 *
 * @param host the host that the request names, without its port
 * @param zone the zone in which the request arrives, empty for that of the daemon
 * @param organisation the organisation of the caller
 * @param deadline how long the caller waits, empty if it does not state it
 * @param tried identifiers of the upstreams that the request has already tried
 */
record RoutingQuestion(
    Optional<String> host,
    String path,
    String method,
    Optional<String> zone,
    Optional<String> organisation,
    Optional<Duration> deadline,
    Set<String> tried) {
  private static final Set<String> PARAMETERS =
      Set.of("host", "path", "method", "zone", "organisation", "deadline", "tried");
  private static final String DEFAULT_METHOD = "GET";

  /** Reads the question from the parameters of a request, or returns everything wrong with it. */
  static Either<List<String>, RoutingQuestion> from(OperatorRequest request) {
    List<String> faults = new ArrayList<>();
    request.query().keySet().stream()
        .filter(name -> !PARAMETERS.contains(name))
        .sorted()
        .map(name -> "unknown parameter \"" + name + "\"")
        .forEach(faults::add);
    String path = request.parameter("path").orElse("");
    check(
        faults, path.matches("/[^?#\\s]*"), "path", path, "a path without a query, such as /read");
    String host = request.parameter("host").orElse("any");
    check(faults, host.matches("[A-Za-z0-9._-]+(:[0-9]{1,5})?"), "host", host, "a host name");
    String method = request.parameter("method").orElse(DEFAULT_METHOD);
    check(faults, method.matches("[A-Z]{1,20}"), "method", method, "an HTTP method");
    String deadline = request.parameter("deadline").orElse("1");
    check(
        faults, deadline.matches("[1-9][0-9]{0,8}"), "deadline", deadline, "milliseconds above 0");
    return faults.isEmpty()
        ? Either.right(
            new RoutingQuestion(
                request.parameter("host").map(text -> text.replaceFirst(":[0-9]+$", "")),
                path,
                method,
                request.parameter("zone"),
                request.parameter("organisation"),
                request.number("deadline").map(Duration::ofMillis),
                tried(request)))
        : Either.left(faults);
  }

  private static void check(
      List<String> faults, boolean isValid, String name, String found, String wanted) {
    if (!isValid) {
      faults.add(name + " is \"" + found + "\", wanted: " + wanted);
    }
  }

  private static Set<String> tried(OperatorRequest request) {
    return Arrays.stream(request.parameter("tried").orElse("").split(",", -1))
        .filter(identifier -> !identifier.isEmpty())
        .collect(Collectors.toSet());
  }
}
