package org.parsleycart.decision.admission;

import java.time.Duration;

/**
 * The number of calls that may run at an upstream at once. Implementations are not thread-safe;
 * callers hold the lock of the owning {@link AdmissionControl}.
 */
interface ConcurrencyLimit {

  // -- queries

  /** Returns the number of calls that may run at once. */
  int current();

  /** Returns the warm-up state of the upstream that this limit implies. */
  WarmUpState warmUpState();

  /** Returns how often the upstream has become cold again since it started. */
  long returnsToCold();

  /** Returns the usual latency of a route, or zero before its first answer. */
  Duration usualLatency(String route);

  // -- events

  /**
   * Records a complete answer.
   *
   * @param latency from the start of the call at the upstream to its complete answer
   * @param running the number of running calls, including this one
   */
  void recordAnswer(String route, Duration latency, int running);

  /** Records a call that ended without a complete answer. */
  void recordFailure();

  /** Records a connection that could not be opened. */
  void recordConnectionFailure();

  /** Records an answer that reports overload. */
  void recordOverload();

  /**
   * Resets the limit to that of an upstream that has just started, for example when a withdrawn
   * zone returns to service.
   */
  void reset();
}
