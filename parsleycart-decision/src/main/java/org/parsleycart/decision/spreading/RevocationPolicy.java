package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * How soon a revoked key must stop working at a daemon that receives no new configuration.
 *
 * @param isStrict whether requests that need a key are refused without a recent confirmation of the
 *     configuration; otherwise they are served by the configuration in force, whatever its age
 * @param maximumAge the age up to which a confirmation is recent
 */
public record RevocationPolicy(boolean isStrict, Duration maximumAge) {
  /** The age up to which a confirmation is recent, if a deployment sets none. */
  public static final Duration DEFAULT_MAXIMUM_AGE = Duration.ofSeconds(5);

  private static final RevocationPolicy LENIENT = new RevocationPolicy(false, DEFAULT_MAXIMUM_AGE);

  // -- construction

  public RevocationPolicy {
    requireNonNull(maximumAge, "maximumAge is null");
  }

  /** Returns the policy that serves requests by the configuration in force, whatever its age. */
  public static RevocationPolicy lenient() {
    return LENIENT;
  }

  // -- queries

  /**
   * Returns whether requests that need a key are refused.
   *
   * @param confirmationAge the time since the configuration was last confirmed as the newest, empty
   *     if never
   */
  public boolean refusesAt(Optional<Duration> confirmationAge) {
    requireNonNull(confirmationAge, "confirmationAge is null");
    return isStrict && confirmationAge.filter(age -> age.compareTo(maximumAge) <= 0).isEmpty();
  }

  /**
   * Returns the given duration, or half of the maximum age if the policy is strict and that is
   * shorter. Half of it leaves time for a second read when the first one fails.
   */
  public Duration boundReadInterval(Duration duration) {
    requireNonNull(duration, "duration is null");
    Duration half = maximumAge.dividedBy(2);
    return isStrict && half.compareTo(duration) < 0 ? half : duration;
  }
}
