package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Limits the rate of calls whose responses take the link of the VM for long. Beyond the rate of the
 * link, all other messages of the VM would wait behind these responses, and other daemons could not
 * tell the full link from a VM that has failed.
 *
 * <p>A token bucket in bytes: each started call takes the expected size of its response. Calls with
 * short responses take tokens as well, and start whatever is left. Not thread-safe; callers hold
 * the lock of the owning {@link AdmissionControl}.
 */
final class LinkRateLimiter {
  /** The rest of the link is left to retransmissions, control traffic and calls of this VM. */
  private static final double USABLE_SHARE = 0.8;

  /** Bounds how long other messages wait behind responses that start together. */
  private static final Duration MAXIMUM_BURST = Duration.ofMillis(100);

  /** A response that takes the link for longer delays others noticeably. */
  private static final Duration MAXIMUM_SHORT_TRANSFER = Duration.ofMillis(10);

  /** Weight of a new sample in the moving average, which covers roughly the last ten responses. */
  private static final double SIZE_SAMPLE_WEIGHT = 0.1;

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Zero without a limit. */
  private final double usableBytesPerSecond;

  private final Map<String, Double> averageBytesByRoute = new HashMap<>();
  private double tokens;
  private Instant refilledAt;

  // -- construction

  /**
   * Creates a limiter with a full bucket.
   *
   * @param linkBytesPerSecond the rate of the link, empty for no limit
   */
  LinkRateLimiter(OptionalLong linkBytesPerSecond, Instant now) {
    this.usableBytesPerSecond = linkBytesPerSecond.orElse(0) * USABLE_SHARE;
    this.refilledAt = requireNonNull(now, "now is null");
    this.tokens = bytesIn(MAXIMUM_BURST);
  }

  // -- events

  /** Records the size of a response on a route, in bytes. */
  void recordResponse(String route, long bytes) {
    averageBytesByRoute.merge(
        route,
        (double) bytes,
        (average, latest) -> average + (latest - average) * SIZE_SAMPLE_WEIGHT);
  }

  /** Records that a call starts, which takes the expected size of its response. */
  void recordStart(String route, Instant now) {
    refill(now);
    tokens -= expectedBytes(route);
  }

  private void refill(Instant now) {
    tokens = Math.min(bytesIn(MAXIMUM_BURST), tokens + bytesIn(Duration.between(refilledAt, now)));
    refilledAt = now;
  }

  // -- queries

  /** Returns whether a call may start now. */
  boolean isStartAllowed(String route, Instant now) {
    if (!isLimited(route)) {
      return true;
    }
    refill(now);
    return tokens > 0;
  }

  /** Returns whether the responses of a route take the link for long. */
  boolean isLimited(String route) {
    return usableBytesPerSecond > 0 && expectedBytes(route) > bytesIn(MAXIMUM_SHORT_TRANSFER);
  }

  /**
   * Returns how long a call waits for the link.
   *
   * @param queuedRoutes the routes of the calls that start before it
   */
  Duration expectedWait(String route, Stream<String> queuedRoutes, Instant now) {
    if (!isLimited(route)) {
      return Duration.ZERO;
    }
    refill(now);
    double bytesAhead = queuedRoutes.filter(this::isLimited).mapToDouble(this::expectedBytes).sum();
    double seconds = (bytesAhead - tokens) / usableBytesPerSecond;
    return Duration.ofNanos((long) (Math.max(0, seconds) * NANOSECONDS_PER_SECOND));
  }

  private double expectedBytes(String route) {
    return averageBytesByRoute.getOrDefault(route, 0.0);
  }

  private double bytesIn(Duration time) {
    return time.toNanos() / NANOSECONDS_PER_SECOND * usableBytesPerSecond;
  }
}
