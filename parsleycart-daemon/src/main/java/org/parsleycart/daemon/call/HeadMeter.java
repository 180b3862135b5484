package org.parsleycart.daemon.call;

/**
 * Measures the head of a request while it arrives. The input/output thread of the connection
 * changes it; any thread may read it.
 */
final class HeadMeter {
  private static final int EMPTY_LINE_BYTES = 2;

  private volatile long bytes;

  // -- events

  /** Begins with the next head. */
  void restart() {
    bytes = 0;
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only the thread of the connection writes.
  void record(int count) {
    bytes += count;
  }

  // -- queries

  /** Returns the bytes since the previous request, with the empty lines before the head. */
  long bytes() {
    return bytes;
  }

  /** Returns whether a head has begun. Some clients end a body with an empty line of their own. */
  boolean isBegun() {
    return bytes > EMPTY_LINE_BYTES;
  }
}
