package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What admission decided: calls to start now and calls to refuse now; all others wait.
 *
 * @param admitted the calls to admitted
 * @param refusals the calls to refusals, with the reason
 * @param <C> the type of the caller's object
 */
public record AdmissionDecision<C>(List<AdmissionRequest<C>> admitted, List<Refusal<C>> refusals) {

  /**
   * A call refused before any of it reached the upstream.
   *
   * @param request the request
   * @param reason why
   * @param <C> the type of the caller's object
   */
  public record Refusal<C>(AdmissionRequest<C> request, RefusalReason reason) {
    public Refusal {
      requireNonNull(request, "request is null");
      requireNonNull(reason, "reason is null");
    }
  }

  // -- construction

  public AdmissionDecision {
    admitted = List.copyOf(admitted);
    refusals = List.copyOf(refusals);
  }

  static <C> AdmissionDecision<C> ofRefusal(AdmissionRequest<C> request, RefusalReason reason) {
    return new AdmissionDecision<>(List.of(), List.of(new Refusal<>(request, reason)));
  }
}
