package org.parsleycart.daemon.call;

import java.nio.ByteBuffer;
import org.parsleycart.decision.protection.HeadCost;

/**
 * Measures the head of a request while it arrives. Confined to the input/output thread of the
 * connection, except that any thread may read the number of bytes.
 */
final class HeadMeter {
  private static final int EMPTY_LINE_BYTES = 2;

  private volatile long bytes;
  private HeadCost cost = new HeadCost();

  // -- events

  /** Begins with the next head. */
  void restart() {
    bytes = 0;
    cost = new HeadCost();
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only the thread of the connection writes.
  void record(ByteBuffer buffer, int start, int count) {
    for (int index = start; index < start + count; index++) {
      cost.add(buffer.get(index));
    }
    bytes += count;
  }

  // -- queries

  /** Returns the bytes since the previous request, with the empty lines before the head. */
  long bytes() {
    return bytes;
  }

  /** Returns the estimated heap in bytes of the head so far. */
  long heapBytes() {
    return cost.heapBytes();
  }

  /** Returns whether a head has begun. Some clients end a body with an empty line of their own. */
  boolean isBegun() {
    return bytes > EMPTY_LINE_BYTES;
  }
}
