package org.parsleycart.link;

import java.util.concurrent.atomic.LongAdder;

/** Counts the control messages of one daemon and their bytes. */
public final class ControlTrafficCounters {
  private final LongAdder sentMessages = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedMessages = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder rejectedMessages = new LongAdder();

  // -- events

  /** Counts a sent message and its bytes, without network headers. */
  public void recordSent(int bytes) {
    sentMessages.increment();
    sentBytes.add(bytes);
  }

  /** Counts a received message and its bytes, without network headers. */
  public void recordReceived(int bytes) {
    receivedMessages.increment();
    receivedBytes.add(bytes);
  }

  /** Counts a message that was rejected or could not be sent or received. */
  public void recordRejected() {
    rejectedMessages.increment();
  }

  // -- queries

  public long sentMessages() {
    return sentMessages.sum();
  }

  public long sentBytes() {
    return sentBytes.sum();
  }

  public long receivedMessages() {
    return receivedMessages.sum();
  }

  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Returns the number of messages that were rejected or failed. */
  public long rejectedMessages() {
    return rejectedMessages.sum();
  }
}
