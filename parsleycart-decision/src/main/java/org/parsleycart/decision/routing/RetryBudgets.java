package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;

/** A retry budget for each service. Safe for use by several threads. */
public final class RetryBudgets {
  /** Detours between daemons cost no upstream anything; half of the calls may take one. */
  private static final double REDIRECTS_PER_CALL = 0.5;

  private static final double MAXIMUM_REDIRECTS = 20;

  private final ConcurrentHashMap<String, RetryBudget> budgetsByService = new ConcurrentHashMap<>();
  private final Function<String, RetryBudget> factory;

  // -- construction

  private RetryBudgets(Function<String, RetryBudget> factory) {
    this.factory = factory;
  }

  /** Returns budgets that are made when a service is first called. */
  public static RetryBudgets of(Supplier<RetryBudget> factory) {
    requireNonNull(factory, "factory is null");
    return new RetryBudgets(service -> factory.get());
  }

  /** Returns one budget for all services together. */
  public static RetryBudgets shared(RetryBudget budget) {
    requireNonNull(budget, "budget is null");
    return new RetryBudgets(service -> budget);
  }

  /**
   * Returns the budgets of calls that go on to another daemon without having reached an upstream.
   */
  public static RetryBudgets forRedirects() {
    return of(() -> new RetryBudget(REDIRECTS_PER_CALL, MAXIMUM_REDIRECTS));
  }

  // -- queries

  /** Returns the budget of a service. */
  public RetryBudget of(String service) {
    return budgetsByService.computeIfAbsent(requireNonNull(service, "service is null"), factory);
  }
}
