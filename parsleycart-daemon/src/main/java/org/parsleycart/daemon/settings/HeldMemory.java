package org.parsleycart.daemon.settings;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;

/** What clients may hold by default: a part of the memory that the process has. */
final class HeldMemory {
  /** The rest is for the daemon itself, for its connections and for the collector. */
  private static final int HEAP_PARTS = 4;

  /** Upstreams, other daemons and transfers of buffers on the heap need direct memory too. */
  private static final int DIRECT_PARTS = 2;

  private static final String DIRECT_MEMORY_FLAG = "-XX:MaxDirectMemorySize=";
  private static final String UNITS = "kmgt";
  private static final int BITS_PER_UNIT = 10;

  private HeldMemory() {}

  /** Returns the heap in bytes that clients may make the daemon hold. */
  static long heapBytes() {
    return Runtime.getRuntime().maxMemory() / HEAP_PARTS;
  }

  /** Returns the heap in bytes that clients may hold at most, which leaves half to the daemon. */
  static long maximumHeapBytes() {
    return Runtime.getRuntime().maxMemory() / 2;
  }

  /**
   * Returns the bytes in buffers that clients may hold at most, with what upstreams need beside.
   */
  static long maximumBufferBytes() {
    return bufferBytes() * DIRECT_PARTS * 2 / 3;
  }

  /** Returns the bytes in buffers that clients may make the daemon hold. */
  static long bufferBytes() {
    return directBytes(ManagementFactory.getRuntimeMXBean().getInputArguments()) / DIRECT_PARTS;
  }

  /** Returns the direct memory that a process with the given flags has, in bytes. */
  static long directBytes(List<String> flags) {
    return flags.stream()
        .filter(flag -> flag.startsWith(DIRECT_MEMORY_FLAG))
        .map(flag -> flag.substring(DIRECT_MEMORY_FLAG.length()).toLowerCase(Locale.ROOT))
        .reduce((earlier, later) -> later)
        .map(HeldMemory::bytes)
        .filter(bytes -> bytes > 0)
        .orElseGet(Runtime.getRuntime()::maxMemory);
  }

  private static long bytes(String size) {
    int unit = UNITS.indexOf(size.charAt(size.length() - 1));
    String number = unit < 0 ? size : size.substring(0, size.length() - 1);
    return Long.parseLong(number) << (BITS_PER_UNIT * (unit + 1));
  }
}
