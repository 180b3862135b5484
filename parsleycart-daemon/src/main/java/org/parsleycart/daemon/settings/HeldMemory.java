package org.parsleycart.daemon.settings;

/** What clients may hold by default: a part of the memory that the process has. */
final class HeldMemory {
  /** The rest is for the daemon itself, for its connections and for the collector. */
  private static final int HEAP_PARTS = 4;

  private HeldMemory() {}

  /** Returns the heap in bytes that clients may make the daemon hold. */
  static long heapBytes() {
    return Runtime.getRuntime().maxMemory() / HEAP_PARTS;
  }
}
