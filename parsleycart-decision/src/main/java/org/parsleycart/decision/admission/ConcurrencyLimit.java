package org.parsleycart.decision.admission;

import java.time.Duration;

/** How many calls an upstream bears at once. Used under the lock of its owner. */
interface ConcurrencyLimit {

  // -- queries

  /** Returns the number of calls that may run at once. */
  int current();

  /** Returns the condition that the limit stands for. */
  WarmUpState warmUpState();

  /** Returns how often the upstream fell back to cold. */
  long returnsToCold();

  /** Returns the usual latency on a route, zero before the first answer. */
  Duration usualLatency(String route);

  // -- events

  /**
   * Takes note of a whole answer.
   *
   * @param route the route of the call
   * @param latency from the start of the call at the upstream to its whole answer
   * @param running how many calls were running, this one included
   */
  void recordAnswer(String route, Duration latency, int running);

  /** Takes note of an answer that broke off. */
  void recordFailure();

  /** Takes note of a connection that did not come about. */
  void recordConnectionFailure();

  /** Takes note of an answer that says that the upstream has too much to do. */
  void recordOverload();

  /** Starts again as if the upstream had just started, as after a return of the zone. */
  void reset();
}
