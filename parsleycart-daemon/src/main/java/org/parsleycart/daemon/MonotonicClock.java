package org.parsleycart.daemon;

import java.time.Instant;
import java.time.InstantSource;

/** The wall clock of the process's start moved on by the monotonic timer; never steps back. */
public final class MonotonicClock implements InstantSource {
  private final Instant start;
  private final long startNanoseconds;

  // -- construction

  private MonotonicClock(Instant start, long startNanoseconds) {
    this.start = start;
    this.startNanoseconds = startNanoseconds;
  }

  /** Starts a clock. */
  public static MonotonicClock start() {
    return new MonotonicClock(InstantSource.system().instant(), System.nanoTime());
  }

  // -- InstantSource

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanoseconds);
  }
}
