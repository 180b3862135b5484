package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;

/**
 * The division of time into windows of one length. Window k begins k lengths after the start of
 * 1970.
 */
public record UsageWindows(Duration length) {

  // -- construction

  public UsageWindows {
    requireNonNull(length, "length is null");
    if (length.toMillis() <= 0) {
      throw new IllegalArgumentException("length of a window is " + length);
    }
  }

  // -- queries

  /** Returns the number of the window that contains a time. */
  public long at(Instant time) {
    return Math.floorDiv(time.toEpochMilli(), length.toMillis());
  }

  /** Returns the first instant of a window. */
  public Instant startOf(long window) {
    return Instant.ofEpochMilli(Math.multiplyExact(window, length.toMillis()));
  }

  /** Returns the first instant after a window. */
  public Instant endOf(long window) {
    return startOf(window + 1);
  }
}
