package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.InstantSource;

/** Sends exchanges on to other processes. */
public final class Forwarder {
  private final ConnectionPools pools;
  private final InstantSource clock;

  // -- construction

  /** Creates a forwarder over the given connections. */
  public Forwarder(ConnectionPools pools, InstantSource clock) {
    this.pools = requireNonNull(pools, "pools is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- operations

  /**
   * Starts an attempt; must run on the input/output thread of its exchange.
   *
   * @return stops the attempt when it is run on that thread
   */
  Runnable forward(Attempt attempt) {
    requireNonNull(attempt, "attempt is null");
    ConnectionPool pool = pools.of(attempt.exchange().getIoThread());
    AttemptExecution forwarding = new AttemptExecution(attempt, pool, pools.buffers(), clock);
    forwarding.start();
    return forwarding::cancel;
  }
}
