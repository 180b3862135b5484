package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.decision.Outcome;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.Contract;

/**
 * Decides whether a call is tried again.
 *
 * <p>An answer of the upstream, also one that says that it failed, is never tried again: the layer
 * nearest to a fault retries it and the layers above see an answer, so that retries do not multiply
 * along a chain of calls.
 */
public final class RetryPolicy {
  private static final Duration SHORTEST_USEFUL_TIME = Duration.ofMillis(5);

  private final RetryBudget budget;

  // -- construction

  /** Creates a policy on the given budget. */
  public RetryPolicy(RetryBudget budget) {
    this.budget = requireNonNull(budget, "budget is null");
  }

  // -- events

  /** Takes note of the first attempt of a call, which earns a share of a retry. */
  public void called() {
    budget.called();
  }

  // -- decision

  /**
   * Returns whether to try again, and takes the retry from the budget.
   *
   * @param contract the contract of the route
   * @param attempts how often the call was tried
   * @param outcome the outcome of the last attempt
   * @param remaining the time until the deadline
   */
  public boolean tryAgain(Contract contract, int attempts, Outcome outcome, Duration remaining) {
    requireNonNull(contract, "contract is null");
    return outcome.mayRetry(contract.requestKind())
        && isWithinBounds(contract, attempts, remaining)
        && budget.take();
  }

  /**
   * Returns whether to try again after a refusal. When the refusal says that the call belongs
   * elsewhere it is no sign of overload, and the budget is not charged.
   *
   * @param contract the contract of the route
   * @param attempts how often the call was tried
   * @param reason why it was refused
   * @param remaining the time until the deadline
   */
  public boolean tryAgainAfterRefusal(
      Contract contract, int attempts, RefusalReason reason, Duration remaining) {
    requireNonNull(reason, "reason is null");
    return reason.meansElsewhere()
        ? isWithinBounds(contract, attempts, remaining)
        : tryAgain(contract, attempts, Outcome.NOT_RUN, remaining);
  }

  private static boolean isWithinBounds(Contract contract, int attempts, Duration remaining) {
    return attempts < contract.maximumAttempts() && remaining.compareTo(SHORTEST_USEFUL_TIME) > 0;
  }
}
