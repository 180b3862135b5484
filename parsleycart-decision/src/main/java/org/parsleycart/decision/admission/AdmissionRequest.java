package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Comparator;
import org.parsleycart.model.RequestKind;

/**
 * A call that asks to run at an upstream.
 *
 * @param call the caller's own object
 * @param priority the place in the queue; smaller runs first
 * @param route the name of the route
 * @param softDeadline when an answer becomes late, at most the deadline
 * @param deadline when an answer is of no use any more
 * @param <C> the type of the caller's object
 */
public record AdmissionRequest<C>(
    C call, int priority, String route, Instant softDeadline, Instant deadline) {

  // -- construction

  public AdmissionRequest {
    requireNonNull(call, "call is null");
    requireNonNull(route, "route is null");
    requireNonNull(softDeadline, "softDeadline is null");
    requireNonNull(deadline, "deadline is null");
  }

  /** Creates a call whose rank its kind implies and whose answer is of full use up to its end. */
  public AdmissionRequest(C call, RequestKind kind, String route, Instant deadline) {
    this(call, kind.priority(), route, deadline, deadline);
  }

  // -- queries

  /** Returns the order of the queue: by priority, then by deadline. */
  static <C> Comparator<AdmissionRequest<C>> queueOrder() {
    return Comparator.<AdmissionRequest<C>>comparingInt(AdmissionRequest::priority)
        .thenComparing(AdmissionRequest::deadline);
  }
}
