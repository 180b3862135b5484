package org.parsleycart.daemon.call;

import org.parsleycart.decision.protection.MemoryBudget;

/**
 * What one connection makes the daemon hold, charged to the budgets of its group of listeners. A
 * closed account holds nothing, whatever is still recorded on it. Thread-safe.
 */
final class ConnectionAccount {
  /** The heap of an ordinary head, which is not charged, so that no crowd can take it. */
  private static final long FREE_HEAD_BYTES = 6 * 1024;

  private final MemoryBudget.Share heap;
  private final MemoryBudget.Share buffers;
  private long headBytes;
  private long bodyBytes;
  private long readAheadBytes;
  private long bufferBytes;
  private boolean isClosed;

  // -- construction

  ConnectionAccount(MemoryBudget.Share heap, MemoryBudget.Share buffers) {
    this.heap = heap;
    this.buffers = buffers;
  }

  // -- heap

  /**
   * Charges the head of the request in place of what was charged for it before. Returns false, and
   * changes nothing, if too much is held.
   */
  synchronized boolean tryHoldHead(long bytes) {
    long charged = Math.max(0, bytes - FREE_HEAD_BYTES);
    boolean isHeld = tryHold(charged - headBytes);
    headBytes = isHeld ? charged : headBytes;
    return isHeld;
  }

  /** Charges a part of a body. Returns false, and charges nothing, if too much is held. */
  synchronized boolean tryHoldBody(long bytes) {
    boolean isHeld = tryHold(bytes);
    bodyBytes += isHeld ? bytes : 0;
    return isHeld;
  }

  /** Records the bytes that have been read ahead. */
  synchronized void setReadAhead(long bytes) {
    heap.hold(isClosed ? 0 : bytes - readAheadBytes);
    readAheadBytes = isClosed ? 0 : bytes;
  }

  private boolean tryHold(long bytes) {
    if (bytes <= 0) {
      heap.release(isClosed ? 0 : -bytes);
      return true;
    }
    return !isClosed && heap.tryHold(bytes);
  }

  /** Records the end of a request, which held its head and its body. */
  synchronized void endRequest() {
    if (!isClosed) {
      heap.release(headBytes + bodyBytes);
      headBytes = 0;
      bodyBytes = 0;
    }
  }

  // -- buffers

  synchronized void holdBuffer(long bytes) {
    buffers.hold(isClosed ? 0 : bytes);
    bufferBytes += isClosed ? 0 : bytes;
  }

  synchronized void releaseBuffer(long bytes) {
    buffers.release(isClosed ? 0 : bytes);
    bufferBytes -= isClosed ? 0 : bytes;
  }

  /** Returns whether no more may be kept in buffers. */
  boolean areBuffersExceeded() {
    return buffers.isExceeded();
  }

  // -- end

  /** Releases all that is held. Later calls have no effect. */
  synchronized void close() {
    if (!isClosed) {
      setReadAhead(0);
      endRequest();
      buffers.release(bufferBytes);
      bufferBytes = 0;
      isClosed = true;
    }
  }

  /** Returns the bytes that are held. */
  synchronized long heldBytes() {
    return headBytes + bodyBytes + readAheadBytes + bufferBytes;
  }
}
