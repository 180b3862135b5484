package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.RendezvousHash;

/**
 * Which daemons wait at the platform for new versions.
 *
 * <p>A few watchers in each zone do; the others learn of versions by gossip, which also tells how
 * long ago the newest one was confirmed. A daemon that has heard of no confirmation for too long
 * reads the platform itself, so that versions arrive also when no watcher reaches the platform.
 */
public final class FeedReadPolicy {
  /** Three, so that versions still arrive without delay when two are cut off or die. */
  static final int WATCHERS_PER_ZONE = 3;

  private static final String RENDEZVOUS_KEY = "feed";

  /** The longest interval between two confirmations at a watcher. */
  private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(2);

  /** Gossip reaches n daemons, each of which hears four others a second, within ln n / 2 s. */
  private static final double SPREADING_SECONDS = 0.5;

  /** Peers answer within a few round trips; a peer that does not may be gone. */
  private static final Duration LONGEST_PULL = Duration.ofMillis(300);

  private static final double MILLISECONDS_PER_SECOND = 1000;

  private FeedReadPolicy() {}

  // -- decision

  /**
   * Returns whether a daemon waits at the platform.
   *
   * @param alive the members that are alive
   * @param self the daemon
   */
  public static boolean isWatcher(List<MemberRecord> alive, MemberRecord self) {
    requireNonNull(alive, "alive is null");
    requireNonNull(self, "self is null");
    List<String> zone =
        alive.stream()
            .filter(member -> member.zone().equals(self.zone()))
            .map(MemberRecord::identifier)
            .toList();
    return RendezvousHash.owners(zone.stream(), RENDEZVOUS_KEY, WATCHERS_PER_ZONE)
        .contains(self.identifier());
  }

  /**
   * Returns whether a daemon that is no watcher reads the platform itself now.
   *
   * @param age how long ago its configuration was known to be the newest, if ever
   * @param behindFor for how long some peer has been known to hold a newer version, if one does
   * @param fleet the number of daemons
   */
  public static boolean isFallbackReadDue(
      Optional<Duration> age, Optional<Duration> behindFor, int fleet) {
    requireNonNull(age, "age is null");
    requireNonNull(behindFor, "behindFor is null");
    boolean unconfirmed = age.isEmpty() || age.get().compareTo(maximumConfirmationAge(fleet)) > 0;
    return unconfirmed || behindFor.filter(since -> since.compareTo(LONGEST_PULL) > 0).isPresent();
  }

  /** Returns how old a confirmation usually gets at most; it grows with the fleet's logarithm. */
  static Duration maximumConfirmationAge(int fleet) {
    double spreading = SPREADING_SECONDS * Math.log(Math.max(1, fleet)) * MILLISECONDS_PER_SECOND;
    return CONFIRMATION_INTERVAL.plusMillis((long) spreading);
  }
}
