package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;

/** A retry budget for each service. Safe for use by several threads. */
public final class RetryBudgets {
  /** Detours between daemons cost no upstream anything; half of the calls may take one. */
  private static final double DETOURS_PER_CALL = 0.5;

  private static final double MOST_SAVED_DETOURS = 20;

  private final ConcurrentHashMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final Function<String, RetryBudget> creation;

  // -- construction

  private RetryBudgets(Function<String, RetryBudget> creation) {
    this.creation = creation;
  }

  /** Returns budgets that are made when a service is first called. */
  public static RetryBudgets of(Supplier<RetryBudget> creation) {
    requireNonNull(creation, "creation is null");
    return new RetryBudgets(service -> creation.get());
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
    return of(() -> new RetryBudget(DETOURS_PER_CALL, MOST_SAVED_DETOURS));
  }

  // -- queries

  /** Returns the budget of a service. */
  public RetryBudget of(String service) {
    return budgets.computeIfAbsent(requireNonNull(service, "service is null"), creation);
  }
}
