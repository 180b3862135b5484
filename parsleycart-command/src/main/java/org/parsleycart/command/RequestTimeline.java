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
 * What daemons wrote about one request, in order, with the changes of state that name an upstream
 * it was sent to.
 *
 * @param lines the lines, the earliest first
 */
record RequestTimeline(List<LogLine> lines) {
  /** How long before the first line of a request a change of state may still explain it. */
  private static final Duration BEFORE = Duration.ofSeconds(10);

  RequestTimeline {
    lines = List.copyOf(lines);
  }

  /** Gathers the timeline of a request from the lines of all daemons, in any order. */
  static RequestTimeline of(String request, List<LogLine> all) {
    requireNonNull(request, "request is null");
    List<LogLine> own = all.stream().filter(line -> line.isAbout(request)).toList();
    Set<String> upstreams =
        own.stream().flatMap(RequestTimeline::upstreams).collect(Collectors.toSet());
    Optional<Instant> first =
        own.stream().flatMap(line -> time(line).stream()).min(Comparator.naturalOrder());
    Optional<Instant> last =
        own.stream().flatMap(line -> time(line).stream()).max(Comparator.naturalOrder());
    Stream<LogLine> states =
        all.stream()
            .filter(line -> line.event().equals("state"))
            .filter(line -> names(line, upstreams))
            .filter(line -> isWithin(line, first, last));
    return new RequestTimeline(
        Stream.of(own.stream(), states)
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

  private static boolean names(LogLine line, Set<String> upstreams) {
    return line.field("message")
        .filter(message -> upstreams.stream().anyMatch(message::contains))
        .isPresent();
  }

  private static boolean isWithin(LogLine line, Optional<Instant> first, Optional<Instant> last) {
    return time(line)
        .filter(at -> first.isPresent() && !at.isBefore(first.get().minus(BEFORE)))
        .filter(at -> !at.isAfter(last.get()))
        .isPresent();
  }

  private static Optional<Instant> time(LogLine line) {
    try {
      return Optional.of(Instant.parse(line.time()));
    } catch (DateTimeParseException e) {
      // A line of another program; it is shown in its place and explains nothing.
      return Optional.empty();
    }
  }
}
