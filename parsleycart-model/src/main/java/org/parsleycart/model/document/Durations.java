package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations in settings, configurations and commands. */
public final class Durations {
  private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
  private static final Map<String, Duration> UNITS =
      Map.of(
          "ms", Duration.ofMillis(1),
          "s", Duration.ofSeconds(1),
          "m", Duration.ofMinutes(1),
          "h", Duration.ofHours(1));

  private Durations() {}

  /**
   * Parses a duration.
   *
   * <pre>{@code
   * Durations.parse("250ms") // Optional[PT0.25S]
   * }</pre>
   *
   * @param text a whole number followed by ms, s, m or h
   * @return the duration, or empty if the text has another format or is zero
   */
  public static Optional<Duration> parse(String text) {
    return parseAllowingZero(text).filter(duration -> !duration.isZero());
  }

  /** Parses a duration that may be zero; returns empty if the text has another format. */
  public static Optional<Duration> parseAllowingZero(String text) {
    requireNonNull(text, "text is null");
    Matcher matcher = FORMAT.matcher(text);
    return matcher.matches()
        ? Optional.of(UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1))))
        : Optional.empty();
  }

  /** Formats a duration in milliseconds, such as {@code 250ms}. */
  public static String format(Duration duration) {
    requireNonNull(duration, "duration is null");
    return duration.toMillis() + "ms";
  }
}
