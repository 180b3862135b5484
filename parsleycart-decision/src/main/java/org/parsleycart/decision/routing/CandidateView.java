package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Why an upstream would be chosen for a call or not.
 *
 * @param ownCalls the calls in flight from this daemon to the upstream
 * @param reportAge the age of its last load report, empty if there was none
 * @param weight the figure that is compared between candidates; the smaller one is chosen
 * @param exclusion why it may not be chosen, empty if it may
 */
public record CandidateView(
    Candidate candidate,
    boolean isInLocalZone,
    int ownCalls,
    Optional<Duration> reportAge,
    CallEstimate estimate,
    double weight,
    Optional<Exclusion> exclusion) {

  /** Why a candidate may not be chosen. */
  public enum Exclusion {
    /** The call has already tried it. */
    TRIED("tried"),
    /** It stated that it leaves. */
    LEAVING("leaving"),
    /** It is left out after failures or a refusal, unless most candidates are. */
    EJECTED("ejected");

    private final String label;

    Exclusion(String label) {
      this.label = label;
    }

    @Override
    public String toString() {
      return label;
    }
  }

  public CandidateView {
    requireNonNull(candidate, "candidate is null");
    requireNonNull(reportAge, "reportAge is null");
    requireNonNull(estimate, "estimate is null");
    requireNonNull(exclusion, "exclusion is null");
  }
}
