package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Assigns keys to members by rendezvous hashing (highest random weight). Members with the same view
 * choose the same owner, and a change of one member moves only the keys of that member.
 */
public final class RendezvousHash {
  /** The first multiplier of the SplitMix64 finalizer. */
  private static final long MIXING_FACTOR = 0xBF58476D1CE4E5B9L;

  private RendezvousHash() {}

  /** Returns the member with the highest weight for a key, or empty when there are no members. */
  public static Optional<String> owner(Stream<String> members, String key) {
    requireNonNull(members, "members is null");
    requireNonNull(key, "key is null");
    return members.max(byWeight(key));
  }

  /**
   * Returns the members with the highest weights for a key, the highest first.
   *
   * @param count the maximum number of members to return
   */
  public static List<String> owners(Stream<String> members, String key, int count) {
    requireNonNull(members, "members is null");
    requireNonNull(key, "key is null");
    return members.sorted(byWeight(key).reversed()).limit(count).toList();
  }

  private static Comparator<String> byWeight(String key) {
    return Comparator.<String>comparingLong(member -> weight(member, key))
        .thenComparing(Comparator.naturalOrder());
  }

  private static long weight(String member, String key) {
    long hash = (long) member.hashCode() << Integer.SIZE ^ key.hashCode();
    hash = (hash ^ (hash >>> 30)) * MIXING_FACTOR;
    hash = (hash ^ (hash >>> 27)) * MIXING_FACTOR;
    return hash ^ (hash >>> 31);
  }
}
