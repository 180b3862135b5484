package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The timeout for connections to several peers over one link. If none of them answers in time, the
 * link of this daemon may be the slow one: the timeout doubles with each failure, so that a
 * connection that the link delays succeeds in the end. It follows the duration of the last success.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class AdaptiveTimeout {
  /** Leaves room for connections that take longer than the last one. */
  private static final int MARGIN_FACTOR = 2;

  private final Duration minimum;
  private final Duration maximum;
  private Duration current;

  // -- construction

  /** Creates a timeout that starts at the minimum. */
  public AdaptiveTimeout(Duration minimum, Duration maximum) {
    this.minimum = requireNonNull(minimum, "minimum is null");
    this.maximum = requireNonNull(maximum, "maximum is null");
    this.current = minimum;
  }

  // -- queries

  /** Returns the timeout of the next connection. */
  public Duration current() {
    return current;
  }

  // -- events

  /** Records a connection that was not established in time. */
  public void recordFailure() {
    current = bounded(current.multipliedBy(2));
  }

  /** Records how long it took to establish a connection. */
  public void recordSuccess(Duration elapsed) {
    current = bounded(requireNonNull(elapsed, "elapsed is null").multipliedBy(MARGIN_FACTOR));
  }

  private Duration bounded(Duration timeout) {
    Duration atLeastMinimum = timeout.compareTo(minimum) < 0 ? minimum : timeout;
    return atLeastMinimum.compareTo(maximum) > 0 ? maximum : atLeastMinimum;
  }
}
