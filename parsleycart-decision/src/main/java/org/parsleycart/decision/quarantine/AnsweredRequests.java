package org.parsleycart.decision.quarantine;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Remembers requests that upstreams beside this daemon have answered lately. Such a request is not
 * the cause when an upstream ends, also when many callers send it alike and several upstreams end
 * at once. Thread-safe; newer requests replace older ones at random.
 */
public final class AnsweredRequests {
  private static final int CAPACITY = 4096;

  private final AtomicLongArray checksums = new AtomicLongArray(CAPACITY);

  /** Records that a request with the checksum was answered. */
  public void record(long checksum) {
    checksums.lazySet(indexOf(checksum), checksum);
  }

  /** Returns whether a request with the checksum was answered, as far as it is remembered. */
  public boolean contains(long checksum) {
    return checksums.get(indexOf(checksum)) == checksum;
  }

  private static int indexOf(long checksum) {
    return Math.floorMod(checksum, CAPACITY);
  }
}
