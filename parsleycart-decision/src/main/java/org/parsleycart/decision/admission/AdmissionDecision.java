package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The result of one admission step. Requests in neither list stay queued.
 *
 * @param admitted requests to start now
 * @param refusals requests to refuse now, each with its reason
 * @param <C> the type of the object that represents the call
 */
public record AdmissionDecision<C>(List<AdmissionRequest<C>> admitted, List<Refusal<C>> refusals) {

  /**
   * A request that was refused before any part of it reached the upstream.
   *
   * @param <C> the type of the object that represents the call
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
