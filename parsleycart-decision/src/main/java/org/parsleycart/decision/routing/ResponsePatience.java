package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.parsleycart.model.Contract;

/**
 * Decides how long an attempt waits for the head of a response before it is given up and the call
 * is sent to another upstream.
 *
 * <p>Some upstreams never respond to a request that they have no room for, nor to any later request
 * on that connection. An attempt that waits for such an upstream until the deadline leaves no time
 * to send the call elsewhere.
 */
public final class ResponsePatience {
  /** Few healthy responses take longer than this multiple of the usual latency. */
  private static final int USUAL_LATENCY_MULTIPLE = 3;

  private ResponsePatience() {}

  // -- decision

  /**
   * Returns how long to wait for a response, or empty to wait until the deadline.
   *
   * <p>An attempt is never given up if the call must run at most once, or if another upstream could
   * not respond in the time that would be left.
   *
   * @param usualLatency the usual latency of the route at the upstream, zero if it is unknown
   * @param remaining the time until the deadline
   */
  public static Optional<Duration> of(
      Contract contract, Duration usualLatency, Duration remaining) {
    requireNonNull(contract, "contract is null");
    requireNonNull(usualLatency, "usualLatency is null");
    requireNonNull(remaining, "remaining is null");
    if (!contract.requestKind().isIdempotent() || contract.maximumAttempts() < 2) {
      return Optional.empty();
    }
    Duration objective = contract.latencyObjective();
    Duration longTime = usualLatency.multipliedBy(USUAL_LATENCY_MULTIPLE);
    Duration patience = longTime.compareTo(objective) > 0 ? longTime : objective;
    Duration timeLeft = remaining.minus(patience);
    boolean isOtherUpstreamInTime =
        timeLeft.compareTo(RetryPolicy.MINIMUM_USEFUL_TIME) > 0
            && timeLeft.compareTo(usualLatency) >= 0;
    return isOtherUpstreamInTime ? Optional.of(patience) : Optional.empty();
  }
}
