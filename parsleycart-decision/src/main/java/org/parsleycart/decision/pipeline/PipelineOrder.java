package org.parsleycart.decision.pipeline;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The requests in progress on one connection, in the order of their arrival, which is the order of
 * their responses (RFC 9112, section 9.3.2). Not thread-safe.
 *
 * @param <R> the type of the objects that represent requests
 */
public final class PipelineOrder<R> {
  private final Deque<R> inProgress = new ArrayDeque<>();

  // -- queries

  /** Returns whether the next request may begin before those in progress have been answered. */
  public boolean mayBegin() {
    return inProgress.isEmpty();
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
  public void begin(R request) {
    inProgress.addLast(requireNonNull(request, "request is null"));
  }

  /** Records that the response of the first request has been sent. */
  public void endFirst() {
    inProgress.removeFirst();
  }
}
