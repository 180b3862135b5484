package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What one more call to an upstream would meet there, as far as an entry daemon knows.
 *
 * @param outstandingCalls the calls expected to run or wait there before it
 * @param waitProbability the probability that it waits for a slot
 * @param expectedEnd the expected time from now until its complete answer
 * @param isInTime whether that is before its deadline
 * @param cost the figure that is compared between upstreams, in usual times of a call
 */
public record CallEstimate(
    double outstandingCalls,
    double waitProbability,
    Duration expectedEnd,
    boolean isInTime,
    double cost) {
  public CallEstimate {
    requireNonNull(expectedEnd, "expectedEnd is null");
  }
}
