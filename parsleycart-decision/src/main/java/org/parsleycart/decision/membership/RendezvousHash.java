package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Gives each key one member by highest random weight, so that members with the same view agree and
 * a change of one member moves only its own keys.
 */
public final class RendezvousHash {
  private static final long MIXING_FACTOR = 0xBF58476D1CE4E5B9L;

  private RendezvousHash() {}

  /**
   * Returns the member that is responsible for a key.
   *
   * @param members identifiers of the members to choose from
   * @param key the key
   */
  public static Optional<String> owner(Stream<String> members, String key) {
    requireNonNull(members, "members is null");
    requireNonNull(key, "key is null");
    return members.max(order(key));
  }

  /**
   * Returns the members that are responsible for a key together, the first one in front.
   *
   * @param members identifiers of the members to choose from
   * @param key the key
   * @param count the most members to return
   */
  public static List<String> owners(Stream<String> members, String key, int count) {
    requireNonNull(members, "members is null");
    requireNonNull(key, "key is null");
    return members.sorted(order(key).reversed()).limit(count).toList();
  }

  private static Comparator<String> order(String key) {
    return Comparator.<String>comparingLong(member -> weight(member, key))
        .thenComparing(Comparator.naturalOrder());
  }

  private static long weight(String member, String key) {
    long mixed = (long) member.hashCode() << Integer.SIZE ^ key.hashCode();
    mixed = (mixed ^ (mixed >>> 30)) * MIXING_FACTOR;
    mixed = (mixed ^ (mixed >>> 27)) * MIXING_FACTOR;
    return mixed ^ (mixed >>> 31);
  }
}
