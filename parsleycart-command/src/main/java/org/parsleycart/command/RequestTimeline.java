package org.parsleycart.command;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The log lines of daemons about one request, with the state changes of the upstreams to which the
 * request was sent.
 *
 * @param lines the lines, earliest first
 */
record RequestTimeline(List<LogLine> lines) {
  /** The time before the first line of a request from which state changes are included. */
  private static final Duration STATE_LOOKBACK = Duration.ofSeconds(10);

  RequestTimeline {
    lines = List.copyOf(lines);
  }

  /** Creates the timeline of a request from the lines of all daemons, given in any order. */
  static RequestTimeline of(String request, List<LogLine> allLines) {
    requireNonNull(request, "request is null");
    List<LogLine> requestLines = allLines.stream().filter(line -> line.isAbout(request)).toList();
    Set<String> upstreams =
        requestLines.stream().flatMap(RequestTimeline::upstreams).collect(Collectors.toSet());
    Optional<Instant> first =
        requestLines.stream().flatMap(line -> time(line).stream()).min(Comparator.naturalOrder());
    Optional<Instant> last =
        requestLines.stream().flatMap(line -> time(line).stream()).max(Comparator.naturalOrder());
    Stream<LogLine> states =
        allLines.stream()
            .filter(line -> line.event().equals("state"))
            .filter(line -> mentionsAny(line, upstreams))
            .filter(line -> isWithin(line, first, last));
    return new RequestTimeline(
        Stream.of(requestLines.stream(), states)
            .flatMap(Function.identity())
            .sorted(Comparator.comparing(LogLine::time))
            .toList());
  }

  private static Stream<String> upstreams(LogLine line) {
    return Stream.of("upstream", "upstreams")
        .flatMap(name -> line.field(name).stream())
        .flatMap(text -> Arrays.stream(text.split(",", -1)))
        .filter(name -> !name.isEmpty());
  }

  private static boolean mentionsAny(LogLine line, Set<String> upstreams) {
    return line.field("message")
        .filter(message -> upstreams.stream().anyMatch(message::contains))
        .isPresent();
  }

  private static boolean isWithin(LogLine line, Optional<Instant> first, Optional<Instant> last) {
    return time(line)
        .filter(at -> first.isPresent() && !at.isBefore(first.get().minus(STATE_LOOKBACK)))
        .filter(at -> !at.isAfter(last.get()))
        .isPresent();
  }

  private static Optional<Instant> time(LogLine line) {
    try {
      return Optional.of(Instant.parse(line.time()));
    } catch (DateTimeParseException e) {
      // Not a time written by a daemon. The line is listed if it is about the request, but a state
      // change is not.
      return Optional.empty();
    }
  }
}
