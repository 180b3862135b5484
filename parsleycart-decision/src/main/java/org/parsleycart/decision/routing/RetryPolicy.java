package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.decision.AttemptOutcome;
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
  /** Below this time another attempt is not worth its cost: about two hops and a short answer. */
  private static final Duration MINIMUM_USEFUL_TIME = Duration.ofMillis(5);

  /** Daemons that say that an upstream has moved away; more would mean that nobody knows better. */
  private static final int MAXIMUM_UNAVAILABLE_REFUSALS = 6;

  /** Daemons that say that they have no room; a third is unlikely to have it either. */
  private static final int MAXIMUM_OVERLOAD_REFUSALS = 2;

  private final RetryBudgets retryBudgets;
  private final RetryBudgets redirectBudgets;

  // -- construction

  /** Creates a policy on one budget for all services. */
  public RetryPolicy(RetryBudget budget) {
    this(RetryBudgets.shared(budget), RetryBudgets.forRedirects());
  }

  /**
   * Creates a policy.
   *
   * @param retries bounds what reaches an upstream beyond the first attempt
   * @param detours bounds what is sent to another daemon after one had no room
   */
  public RetryPolicy(RetryBudgets retryBudgets, RetryBudgets redirectBudgets) {
    this.retryBudgets = requireNonNull(retryBudgets, "retryBudgets is null");
    this.redirectBudgets = requireNonNull(redirectBudgets, "redirectBudgets is null");
  }

  // -- events

  /** Takes note of the first attempt of a call to a service, which earns a share of a retry. */
  public void recordCall(String service) {
    retryBudgets.of(service).recordCall();
    redirectBudgets.of(service).recordCall();
  }

  // -- decision

  /**
   * Returns whether to try again after an attempt that reached an upstream, and takes the retry
   * from the budget.
   *
   * @param service the service called
   * @param contract the contract of the route
   * @param attempts how many upstreams the call has reached
   * @param outcome the outcome of the last attempt
   * @param remaining the time until the deadline
   */
  public boolean acquireRetry(
      String service, Contract contract, int attempts, AttemptOutcome outcome, Duration remaining) {
    requireNonNull(contract, "contract is null");
    return outcome.mayRetry(contract.requestKind())
        && isWithinBounds(contract, attempts, remaining)
        && retryBudgets.of(service).tryAcquire();
  }

  /**
   * Returns whether to send a call elsewhere that no upstream has seen. When the refusal says that
   * the upstream has moved away it is no sign of overload, and no budget is charged.
   *
   * @param service the service called
   * @param refusals how often the call was refused before it reached an upstream
   * @param reason why it was refused
   * @param remaining the time until the deadline
   */
  public boolean acquireRedirect(
      String service, int refusals, RefusalReason reason, Duration remaining) {
    requireNonNull(reason, "reason is null");
    if (remaining.compareTo(MINIMUM_USEFUL_TIME) <= 0) {
      return false;
    }
    return reason.requiresOtherUpstream()
        ? refusals < MAXIMUM_UNAVAILABLE_REFUSALS
        : refusals <= MAXIMUM_OVERLOAD_REFUSALS && redirectBudgets.of(service).tryAcquire();
  }

  /**
   * Returns whether an answer that says that the upstream failed is worth another attempt. The
   * budget is charged only when that attempt is made.
   */
  public boolean mayRetryFailedAnswer(
      String service, Contract contract, int attempts, Duration remaining) {
    requireNonNull(contract, "contract is null");
    return isWithinBounds(contract, attempts, remaining) && retryBudgets.of(service).isAvailable();
  }

  private static boolean isWithinBounds(Contract contract, int attempts, Duration remaining) {
    return attempts < contract.maximumAttempts() && remaining.compareTo(MINIMUM_USEFUL_TIME) > 0;
  }
}
