package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue with many producers and one consumer, which rejects elements when it is full.
 *
 * <p>Rejected elements are counted. Every use must tolerate a rejection: the information of the
 * element is sent again or reconciled later.
 *
 * @param <T> the type of the elements
 */
public final class BoundedQueue<T> {
  private final MpscArrayQueue<T> queue;
  private final AtomicLong rejected = new AtomicLong();
  private volatile Thread consumer;

  // -- construction

  /** Creates a queue with the given capacity, raised to at least 2 elements. */
  public BoundedQueue(int capacity) {
    this.queue = new MpscArrayQueue<>(Math.max(2, capacity));
  }

  // -- operations

  /** Adds an element and wakes the consumer; returns false if the queue is full. */
  public boolean offer(T element) {
    requireNonNull(element, "element is null");
    boolean added = queue.offer(element);
    if (!added) {
      rejected.incrementAndGet();
    }
    LockSupport.unpark(consumer);
    return added;
  }

  /** Removes the next element; empty if there is none. Only the consumer may call it. */
  public Optional<T> poll() {
    return Optional.ofNullable(queue.poll());
  }

  /**
   * Removes the next element, waiting up to the given number of nanoseconds for one. Only the
   * consumer may call it.
   */
  public Optional<T> poll(long waitNanoseconds) {
    consumer = Thread.currentThread();
    T element = queue.poll();
    if (element == null) {
      LockSupport.parkNanos(this, waitNanoseconds);
      element = queue.poll();
    }
    return Optional.ofNullable(element);
  }

  // -- queries

  /** Returns the number of elements rejected since the creation of the queue. */
  public long rejectedCount() {
    return rejected.get();
  }
}
