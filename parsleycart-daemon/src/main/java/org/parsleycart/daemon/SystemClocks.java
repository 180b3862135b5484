package org.parsleycart.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.parsleycart.decision.usage.ClockReading;

/**
 * Reads the clocks of this VM. The clock that goes on while the VM is suspended is read from the
 * kernel; where that fails, the monotonic clock stands for it.
 */
final class SystemClocks implements Supplier<ClockReading> {
  private static final Path UPTIME = Path.of("/proc/uptime");
  private static final int MILLISECONDS_PER_SECOND = 1000;

  @Override
  public ClockReading get() {
    long monotonic = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    return new ClockReading(bootMilliseconds(monotonic), System.currentTimeMillis(), monotonic);
  }

  private static long bootMilliseconds(long monotonic) {
    try {
      String text = Files.readString(UPTIME);
      double seconds = Double.parseDouble(text.substring(0, text.indexOf(' ')));
      return (long) (seconds * MILLISECONDS_PER_SECOND);
    } catch (IOException | NumberFormatException | IndexOutOfBoundsException e) {
      return monotonic;
    }
  }
}
