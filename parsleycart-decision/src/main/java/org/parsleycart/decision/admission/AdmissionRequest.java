package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import org.parsleycart.model.RequestKind;

/**
 * A request to run a call at an upstream.
 *
 * @param call the object that represents the call outside admission control
 * @param priority the priority in the queue; smaller values run first
 * @param softDeadline when an answer becomes late; not after the deadline
 * @param deadline when an answer becomes useless
 * @param organisation the organisation of the caller, empty if it has none
 * @param <C> the type of the object that represents the call
 */
public record AdmissionRequest<C>(
    C call,
    int priority,
    String route,
    Instant softDeadline,
    Instant deadline,
    Optional<String> organisation) {

  // -- construction

  public AdmissionRequest {
    requireNonNull(call, "call is null");
    requireNonNull(route, "route is null");
    requireNonNull(softDeadline, "softDeadline is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(organisation, "organisation is null");
  }

  /** Creates a request of a caller without an organisation. */
  public AdmissionRequest(
      C call, int priority, String route, Instant softDeadline, Instant deadline) {
    this(call, priority, route, softDeadline, deadline, Optional.empty());
  }

  /** Creates a request with the priority of its kind and a soft deadline equal to its deadline. */
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
