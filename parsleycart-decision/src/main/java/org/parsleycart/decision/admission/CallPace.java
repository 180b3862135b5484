package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How long calls take at an upstream.
 *
 * @param usualTime the moving average from the start of a call to its complete answer
 * @param percent how long work takes at this moment, in percent of that average
 * @param isStated whether the server states its pace; otherwise the percentage is always 100
 */
public record CallPace(Duration usualTime, int percent, boolean isStated) {
  /** A server can make itself look at most this much faster or slower than its answers show. */
  public static final int MINIMUM_PERCENT = 50;

  public static final int MAXIMUM_PERCENT = 200;

  private static final int USUAL_PERCENT = 100;
  private static final String UNSTATED = " unstated";
  private static final Pattern TEXT_FORM =
      Pattern.compile("([0-9]{1,7}) ([0-9]{1,4})(" + UNSTATED + ")?");

  // -- construction

  public CallPace {
    requireNonNull(usualTime, "usualTime is null");
    percent = Math.max(MINIMUM_PERCENT, Math.min(MAXIMUM_PERCENT, percent));
  }

  /** Creates the pace of a server that states it. */
  public CallPace(Duration usualTime, int percent) {
    this(usualTime, percent, true);
  }

  /** Creates the pace of a server that does not state it. */
  public static CallPace unstated(Duration usualTime) {
    return new CallPace(usualTime, USUAL_PERCENT, false);
  }

  /**
   * Parses the text form, the usual time in milliseconds and the percentage, such as {@code 276
   * 104}, followed by {@code unstated} if the server does not state its pace. Daemons of earlier
   * builds ignore the longer form. Returns empty if the text is malformed.
   */
  public static Optional<CallPace> parse(String text) {
    requireNonNull(text, "text is null");
    Matcher matcher = TEXT_FORM.matcher(text);
    return matcher.matches()
        ? Optional.of(
            new CallPace(
                Duration.ofMillis(Long.parseLong(matcher.group(1))),
                Integer.parseInt(matcher.group(2)),
                matcher.group(3) == null))
        : Optional.empty();
  }

  // -- queries

  /** Returns how long a call is expected to take once it runs. */
  public Duration expectedTime() {
    return usualTime.multipliedBy(percent).dividedBy(USUAL_PERCENT);
  }

  // -- Object

  @Override
  public String toString() {
    return usualTime.toMillis() + " " + percent + (isStated ? "" : UNSTATED);
  }
}
