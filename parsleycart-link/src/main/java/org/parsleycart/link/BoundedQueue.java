package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue from many threads to one, which refuses elements when it is full.
 *
 * <p>Refused elements are counted. Every use must bear a refusal: what the element stood for is
 * repeated or repaired later.
 *
 * @param <T> the type of the elements
 */
public final class BoundedQueue<T> {
  private final MpscArrayQueue<T> queue;
  private final AtomicLong refused = new AtomicLong();
  private volatile Thread consumer;

  // -- construction

  /** Creates a ring that holds up to the given number of elements. */
  public BoundedQueue(int capacity) {
    this.queue = new MpscArrayQueue<>(Math.max(2, capacity));
  }

  // -- operations

  /** Adds an element and wakes the consumer; returns false when the ring is full. */
  public boolean offer(T element) {
    requireNonNull(element, "element is null");
    boolean added = queue.offer(element);
    if (!added) {
      refused.incrementAndGet();
    }
    LockSupport.unpark(consumer);
    return added;
  }

  /** Takes an element if there is one; called by the consumer alone. */
  public Optional<T> poll() {
    return Optional.ofNullable(queue.poll());
  }

  /** Takes an element, waiting up to the given number of nanoseconds for one. */
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

  /** Returns how many elements were refused since the start. */
  public long rejectedCount() {
    return refused.get();
  }
}
