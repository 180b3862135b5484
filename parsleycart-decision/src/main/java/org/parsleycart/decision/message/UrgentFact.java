package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import org.parsleycart.model.ResourceReference;

/**
 * A decision that takes effect before the platform has it: a zone withdrawn or returned while the
 * platform is down, or a rollout's version condemned.
 *
 * <p>Facts about one subject are totally ordered: the larger epoch wins, then the larger counter,
 * and at equal counters the restrictive one. Merging is commutative, associative and idempotent.
 *
 * @param subject the zone or rollout
 * @param epoch the configuration version of a zone decision, or the start of the rollout; the fact
 *     ends when the configuration has moved on from it
 * @param counter counts the decisions on the subject in one epoch
 * @param restrictive whether the subject takes no traffic
 * @param reason why
 */
public record UrgentFact(
    ResourceReference subject, long epoch, long counter, boolean restrictive, String reason) {
  private static final Comparator<UrgentFact> ORDER =
      Comparator.comparingLong(UrgentFact::epoch)
          .thenComparingLong(UrgentFact::counter)
          .thenComparing(UrgentFact::restrictive)
          .thenComparing(UrgentFact::reason);

  // -- construction

  public UrgentFact {
    requireNonNull(subject, "subject is null");
    requireNonNull(reason, "reason is null");
  }

  // -- queries

  /** Returns whether this fact replaces the other one about the same subject. */
  public boolean overrides(UrgentFact other) {
    requireNonNull(other, "other is null");
    return ORDER.compare(this, other) > 0;
  }
}
