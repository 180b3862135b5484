package org.parsleycart.model;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * The shortest and the longest deadline of the contracts of a configuration, empty without any.
 *
 * <p>Upstreams make the calls with the shortest deadline while they run other calls, which fail
 * without the answer.
 */
record DeadlineRange(Optional<Duration> shortest, Optional<Duration> longest) {

  // -- construction

  static DeadlineRange of(Collection<Contract> contracts) {
    return new DeadlineRange(
        contracts.stream().map(Contract::deadline).min(Comparator.naturalOrder()),
        contracts.stream().map(Contract::deadline).max(Comparator.naturalOrder()));
  }

  // -- queries

  /**
   * Returns whether upstreams make calls under the contract while they run other calls. If all
   * contracts have the same deadline, none of them is for nested calls.
   */
  boolean isForNestedCalls(Contract contract) {
    return !shortest.equals(longest) && shortest.equals(Optional.of(contract.deadline()));
  }
}
