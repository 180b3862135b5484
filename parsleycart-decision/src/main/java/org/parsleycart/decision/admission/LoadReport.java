package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The load of one upstream, as the daemon beside it reports it with each answer.
 *
 * @param outstandingCalls calls that are running or queued
 * @param limit calls that may run at once
 * @param pace how long calls take, empty if the daemon beside the upstream does not know or report
 *     it; travels apart from the text form, which daemons of earlier builds parse as a whole
 */
public record LoadReport(
    int outstandingCalls, int limit, WarmUpState warmUpState, Optional<CallPace> pace) {
  private static final Pattern TEXT_FORM = Pattern.compile("([0-9]{1,6})/([0-9]{1,6}) ([a-z]+)");

  // -- construction

  public LoadReport {
    requireNonNull(warmUpState, "warmUpState is null");
    requireNonNull(pace, "pace is null");
  }

  /** Creates a report without a pace. */
  public LoadReport(int outstandingCalls, int limit, WarmUpState warmUpState) {
    this(outstandingCalls, limit, warmUpState, Optional.empty());
  }

  /**
   * Parses the text form, such as {@code 3/20 warm}. Returns empty if the text is malformed. Raises
   * a limit of 0 to 1.
   */
  public static Optional<LoadReport> parse(String text) {
    requireNonNull(text, "text is null");
    Matcher matcher = TEXT_FORM.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Stream.of(WarmUpState.values())
        .filter(warmUpState -> warmUpState.toString().equals(matcher.group(3)))
        .findFirst()
        .map(
            warmUpState ->
                new LoadReport(
                    Integer.parseInt(matcher.group(1)),
                    Math.max(1, Integer.parseInt(matcher.group(2))),
                    warmUpState));
  }

  // -- queries

  /** Returns this report with another pace. */
  public LoadReport withPace(Optional<CallPace> newPace) {
    return new LoadReport(outstandingCalls, limit, warmUpState, newPace);
  }

  // -- Object

  @Override
  public String toString() {
    return outstandingCalls + "/" + limit + " " + warmUpState;
  }
}
