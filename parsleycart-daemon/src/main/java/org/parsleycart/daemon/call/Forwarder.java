package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.InstantSource;

/** Forwards exchanges to other processes. */
public final class Forwarder {
  private final ConnectionPools pools;
  private final InstantSource clock;

  // -- construction

  public Forwarder(ConnectionPools pools, InstantSource clock) {
    this.pools = requireNonNull(pools, "pools is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- operations

  /**
   * Starts an attempt. Must be called on the input/output thread of the exchange.
   *
   * @return a task that cancels the attempt; must be run on the same thread
   */
  Runnable forward(Attempt attempt) {
    requireNonNull(attempt, "attempt is null");
    ConnectionPool pool = pools.of(attempt.exchange().getIoThread());
    AttemptExecution execution = new AttemptExecution(attempt, pool, clock);
    execution.start();
    return execution::cancel;
  }
}
