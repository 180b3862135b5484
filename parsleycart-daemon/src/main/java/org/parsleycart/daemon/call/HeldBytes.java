package org.parsleycart.daemon.call;

import java.util.concurrent.atomic.AtomicLong;

/** The bytes of bodies that are held in memory for all connections of a group. Thread-safe. */
final class HeldBytes {
  private final long maximum;
  private final AtomicLong held = new AtomicLong();

  // -- construction

  HeldBytes(long maximum) {
    this.maximum = maximum;
  }

  // -- operations

  /** Reserves bytes. Returns false, and reserves nothing, if too many are held. */
  boolean tryHold(long bytes) {
    boolean isHeld = held.addAndGet(bytes) <= maximum;
    if (!isHeld) {
      release(bytes);
    }
    return isHeld;
  }

  void release(long bytes) {
    held.addAndGet(-bytes);
  }
}
