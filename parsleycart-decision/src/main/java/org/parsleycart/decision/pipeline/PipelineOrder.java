package org.parsleycart.decision.pipeline;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The requests in progress on one connection, in the order of their arrival, which is the order of
 * their responses (RFC 9112, section 9.3.2).
 *
 * <p>Safe requests may be in progress together, up to a bound. Any other request begins when all
 * before it have been answered, and the next one after it has been. Not thread-safe.
 *
 * @param <R> the type of the objects that represent requests
 */
public final class PipelineOrder<R> {
  /** What one connection may usually have in progress; further requests wait. */
  public static final int MAXIMUM_IN_PROGRESS = 8;

  private final int maximum;
  private final Deque<R> inProgress = new ArrayDeque<>();
  private boolean isLastSafe = true;

  // -- construction

  /**
   * Creates an order without requests.
   *
   * @param maximum how many requests may be in progress together, at least 1
   */
  public PipelineOrder(int maximum) {
    if (maximum < 1) {
      throw new IllegalArgumentException("maximum must be at least 1, but is " + maximum);
    }
    this.maximum = maximum;
  }

  // -- queries

  /**
   * Returns whether the next request may begin now.
   *
   * @param isSafe whether it only reads, so that it may run beside the requests before it
   */
  public boolean mayBegin(boolean isSafe) {
    return inProgress.isEmpty() || (isSafe && isLastSafe && inProgress.size() < maximum);
  }

  /** Returns the request whose response may be sent, empty if none is in progress. */
  public Optional<R> first() {
    return Optional.ofNullable(inProgress.peekFirst());
  }

  public boolean isEmpty() {
    return inProgress.isEmpty();
  }

  // -- updates

  /** Records that the next request begins. */
  public void begin(R request, boolean isSafe) {
    inProgress.addLast(requireNonNull(request, "request is null"));
    isLastSafe = isSafe;
  }

  /** Records that the response of the first request has been sent. */
  public void endFirst() {
    inProgress.removeFirst();
  }
}
