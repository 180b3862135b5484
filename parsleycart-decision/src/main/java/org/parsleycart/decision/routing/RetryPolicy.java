package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.Contract;

/**
 * Decides whether a call is retried.
 *
 * <p>An answer that has been delivered to the caller is never retried, even if it reports a
 * failure. The layer nearest to a fault retries, and the layers above receive an answer, so retries
 * do not multiply along a chain of calls.
 */
public final class RetryPolicy {
  /**
   * Minimum remaining time for another attempt, about two hops and a short answer. With less,
   * another attempt is not worth its cost.
   */
  private static final Duration MINIMUM_USEFUL_TIME = Duration.ofMillis(5);

  /**
   * Number of refusals at which a call is no longer redirected if the upstream accepts no calls. So
   * many refusals mean that no daemon has more recent information.
   */
  private static final int MAXIMUM_UNAVAILABLE_REFUSALS = 6;

  /**
   * Number of refusals up to which a call is redirected if the daemon lacks capacity. Further
   * daemons are unlikely to have capacity either.
   */
  private static final int MAXIMUM_OVERLOAD_REFUSALS = 2;

  private final RetryBudgets retryBudgets;
  private final RetryBudgets redirectBudgets;

  // -- construction

  /** Creates a policy with one retry budget shared by all services. */
  public RetryPolicy(RetryBudget budget) {
    this(RetryBudgets.shared(budget), RetryBudgets.forRedirects());
  }

  /**
   * Creates a policy.
   *
   * @param retryBudgets limits the attempts beyond the first that reach an upstream
   * @param redirectBudgets limits the attempts that are sent to another daemon after one lacked
   *     capacity
   */
  public RetryPolicy(RetryBudgets retryBudgets, RetryBudgets redirectBudgets) {
    this.retryBudgets = requireNonNull(retryBudgets, "retryBudgets is null");
    this.redirectBudgets = requireNonNull(redirectBudgets, "redirectBudgets is null");
  }

  // -- events

  /** Records the first attempt of a call to a service, which adds to the budgets of the service. */
  public void recordCall(String service) {
    retryBudgets.of(service).recordCall();
    redirectBudgets.of(service).recordCall();
  }

  // -- decision

  /**
   * Returns whether to retry a call after an attempt that reached an upstream. If so, takes the
   * retry from the budget.
   *
   * @param attempts the number of upstreams that the call has reached
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
   * Returns whether to redirect a call that has not reached any upstream. If so, takes the redirect
   * from the budget. The budget is not charged if the refusal means that the upstream accepts no
   * calls, because that is no sign of overload.
   *
   * @param refusals how often the call was refused before it reached an upstream
   * @param reason the reason of the last refusal
   * @param remaining the time until the deadline
   */
  public boolean acquireRedirect(
      String service, int refusals, RefusalReason reason, Duration remaining) {
    requireNonNull(reason, "reason is null");
    if (!reason.mayRedirect() || remaining.compareTo(MINIMUM_USEFUL_TIME) <= 0) {
      return false;
    }
    return reason.requiresOtherUpstream()
        ? refusals < MAXIMUM_UNAVAILABLE_REFUSALS
        : refusals <= MAXIMUM_OVERLOAD_REFUSALS && redirectBudgets.of(service).tryAcquire();
  }

  /**
   * Returns whether to retry instead of delivering an answer that reports a failure of the
   * upstream. The budget is charged only when the retry is made.
   *
   * @param attempts the number of upstreams that the call has reached
   * @param remaining the time until the deadline
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
