package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * How recent a configuration is.
 *
 * <p>The generation that operators give their document decides, then the version. A platform that
 * was restored from a copy gives out versions again, in a later era, for documents of an earlier
 * generation.
 *
 * @param generation the generation of the operators' document, 0 if it has none
 * @param version the version of the configuration
 */
public record Recency(long generation, long version) implements Comparable<Recency> {
  private static final Comparator<Recency> ORDER =
      Comparator.comparingLong(Recency::generation).thenComparingLong(Recency::version);

  /** The recency of the empty configuration. */
  public static final Recency NONE = new Recency(0, 0);

  // -- queries

  /** Returns whether this is more recent than the other one. */
  public boolean isNewerThan(Recency other) {
    return compareTo(other) > 0;
  }

  /** Returns the more recent of two. */
  public static Recency newest(Recency one, Recency other) {
    return other.isNewerThan(one) ? other : one;
  }

  // -- Comparable

  @Override
  public int compareTo(Recency other) {
    return ORDER.compare(this, requireNonNull(other, "other is null"));
  }
}
