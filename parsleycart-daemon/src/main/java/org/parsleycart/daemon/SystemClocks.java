package org.parsleycart.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.parsleycart.decision.usage.ClockReading;

/**
 * Reads the clocks of this process. The monotonic clock also stands for the time since the VM
 * started, so that only the wall clock shows a suspension.
 *
 * <p>{@code /proc/uptime} is not used: where the environment sets the clocks of a process, it still
 * shows the time of the host, which passes at another rate.
 */
final class SystemClocks implements Supplier<ClockReading> {

  @Override
  public ClockReading get() {
    long monotonic = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    return new ClockReading(monotonic, System.currentTimeMillis(), monotonic);
  }
}
