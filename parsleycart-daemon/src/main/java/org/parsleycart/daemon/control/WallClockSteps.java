package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Supplier;
import org.parsleycart.decision.usage.ClockReading;

/** Detects steps of the wall clock by its offset to the time since the VM started. */
final class WallClockSteps {
  /** Above the usual corrections of a synchronized clock. */
  private static final long MINIMUM_STEP_MILLISECONDS = 500;

  private final Supplier<ClockReading> clocks;
  private long offset;

  // -- construction

  WallClockSteps(Supplier<ClockReading> clocks) {
    this.clocks = requireNonNull(clocks, "clocks is null");
    this.offset = offset(clocks.get());
  }

  // -- operation

  /** Returns by how many milliseconds the wall clock has stepped since the last call. */
  Optional<Long> detect(ClockReading now) {
    requireNonNull(now, "now is null");
    // The process may have waited for the processor between the readings of two clocks.
    long newOffset = isStep(offset(now)) ? offset(clocks.get()) : offset(now);
    Optional<Long> step = Optional.of(newOffset - offset).filter(unused -> isStep(newOffset));
    offset = newOffset;
    return step;
  }

  private boolean isStep(long newOffset) {
    return Math.abs(newOffset - offset) > MINIMUM_STEP_MILLISECONDS;
  }

  private static long offset(ClockReading reading) {
    return reading.wall() - reading.boot();
  }
}
