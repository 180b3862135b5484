package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;

/** The retry budgets of services. Thread-safe. */
public final class RetryBudgets {
  /** Redirects between daemons cause no load at any upstream, so half of the calls may use one. */
  private static final double REDIRECTS_PER_CALL = 0.5;

  private static final double MAXIMUM_REDIRECTS = 20;

  private final ConcurrentHashMap<String, RetryBudget> budgetsByService = new ConcurrentHashMap<>();
  private final Function<String, RetryBudget> factory;

  // -- construction

  private RetryBudgets(Function<String, RetryBudget> factory) {
    this.factory = factory;
  }

  /** Returns separate budgets for all services, each created on the first use of its service. */
  public static RetryBudgets of(Supplier<RetryBudget> factory) {
    requireNonNull(factory, "factory is null");
    return new RetryBudgets(service -> factory.get());
  }

  /** Returns budgets that share one budget among all services. */
  public static RetryBudgets shared(RetryBudget budget) {
    requireNonNull(budget, "budget is null");
    return new RetryBudgets(service -> budget);
  }

  /**
   * Returns budgets for calls that are redirected to another daemon before they have reached an
   * upstream.
   */
  public static RetryBudgets forRedirects() {
    return of(() -> new RetryBudget(REDIRECTS_PER_CALL, MAXIMUM_REDIRECTS));
  }

  // -- queries

  public RetryBudget of(String service) {
    return budgetsByService.computeIfAbsent(requireNonNull(service, "service is null"), factory);
  }
}
