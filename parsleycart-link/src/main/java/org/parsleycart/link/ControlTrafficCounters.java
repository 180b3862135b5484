package org.parsleycart.link;

import java.util.concurrent.atomic.LongAdder;

/** Counts the control messages and bytes of one daemon. */
public final class ControlTrafficCounters {
  private final LongAdder sentMessages = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedMessages = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder rejectedMessages = new LongAdder();

  // -- events

  /** Counts a message sent, in bytes without the headers of the network. */
  public void recordSent(int bytes) {
    sentMessages.increment();
    sentBytes.add(bytes);
  }

  /** Counts a message received. */
  public void recordReceived(int bytes) {
    receivedMessages.increment();
    receivedBytes.add(bytes);
  }

  /** Counts a message rejected. */
  public void recordRejected() {
    rejectedMessages.increment();
  }

  // -- queries

  /** Returns the messages sent. */
  public long sentMessages() {
    return sentMessages.sum();
  }

  /** Returns the bytes sent. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the messages received. */
  public long receivedMessages() {
    return receivedMessages.sum();
  }

  /** Returns the bytes received. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Returns the messages rejected. */
  public long rejectedMessages() {
    return rejectedMessages.sum();
  }
}
