package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.RendezvousHash;

/**
 * Decides which daemons read new versions directly from the platform.
 *
 * <p>A few watchers in each zone wait at the platform for new versions. The other daemons receive
 * versions by gossip, which also carries the time since the newest version was last confirmed. A
 * daemon without a recent confirmation reads the platform itself, so that versions arrive even when
 * no watcher can reach the platform.
 */
public final class FeedReadPolicy {
  /**
   * With three watchers, versions arrive without delay even when two of them fail or are cut off.
   */
  static final int WATCHERS_PER_ZONE = 3;

  private static final String RENDEZVOUS_KEY = "feed";

  /** The longest interval between two confirmations at a watcher. */
  private static final Duration MAXIMUM_CONFIRMATION_INTERVAL = Duration.ofSeconds(2);

  /**
   * Gossip reaches n daemons, each of which receives four messages per second, within ln(n) / 2 s.
   */
  private static final double DISSEMINATION_SECONDS_PER_LOGARITHM = 0.5;

  private static final double MILLISECONDS_PER_SECOND = 1000;

  private FeedReadPolicy() {}

  // -- decision

  /** Returns whether a daemon waits at the platform, as one of the watchers of its zone. */
  public static boolean isWatcher(List<MemberRecord> alive, MemberRecord self) {
    requireNonNull(alive, "alive is null");
    requireNonNull(self, "self is null");
    List<String> zoneMembers =
        alive.stream()
            .filter(member -> member.zone().equals(self.zone()))
            .map(MemberRecord::identifier)
            .toList();
    return RendezvousHash.owners(zoneMembers.stream(), RENDEZVOUS_KEY, WATCHERS_PER_ZONE)
        .contains(self.identifier());
  }

  /**
   * Returns whether a daemon that is not a watcher should read the platform itself now.
   *
   * @param confirmationAge the time since its configuration was last confirmed as the newest, empty
   *     if never
   * @param isStalled whether a peer holds a newer version and pulls make no progress
   * @param fleetSize the number of daemons
   * @param revocation may need confirmations more often
   */
  public static boolean isFallbackReadDue(
      Optional<Duration> confirmationAge,
      boolean isStalled,
      int fleetSize,
      RevocationPolicy revocation) {
    requireNonNull(confirmationAge, "confirmationAge is null");
    Duration maximumAge = revocation.boundReadInterval(maximumConfirmationAge(fleetSize));
    boolean isUnconfirmed =
        confirmationAge.isEmpty() || confirmationAge.get().compareTo(maximumAge) > 0;
    return isUnconfirmed || isStalled;
  }

  /**
   * Returns the age that a confirmation normally does not exceed. It grows with the logarithm of
   * the fleet size.
   */
  static Duration maximumConfirmationAge(int fleetSize) {
    double disseminationMilliseconds =
        DISSEMINATION_SECONDS_PER_LOGARITHM
            * Math.log(Math.max(1, fleetSize))
            * MILLISECONDS_PER_SECOND;
    return MAXIMUM_CONFIRMATION_INTERVAL.plusMillis((long) disseminationMilliseconds);
  }
}
