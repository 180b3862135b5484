package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import org.parsleycart.model.ResourceReference;

/**
 * A decision that takes effect before the platform stores it: the withdrawal or return of a zone
 * while the platform is unavailable, or the rejection of the version of a rollout.
 *
 * <p>Facts about one subject are totally ordered: the larger epoch wins, then the larger counter,
 * and at equal counters the restrictive one. Merging is commutative, associative and idempotent.
 *
 * @param subject the zone or rollout
 * @param epoch the configuration version at a zone decision, or the start of the rollout; the fact
 *     no longer applies when the subject has changed after it
 * @param counter counts the decisions on the subject within one epoch
 * @param restrictive whether the subject receives no traffic
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
