package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What admission decided: calls to start now and calls to refuse now; all others wait.
 *
 * @param start the calls to start
 * @param refuse the calls to refuse, with the reason
 * @param <C> the type of the caller's object
 */
public record Admission<C>(List<AdmissionRequest<C>> start, List<Refused<C>> refuse) {

  /**
   * A call refused before any of it reached the upstream.
   *
   * @param call the call
   * @param reason why
   * @param <C> the type of the caller's object
   */
  public record Refused<C>(AdmissionRequest<C> call, RefusalReason reason) {
    public Refused {
      requireNonNull(call, "call is null");
      requireNonNull(reason, "reason is null");
    }
  }

  // -- construction

  public Admission {
    start = List.copyOf(start);
    refuse = List.copyOf(refuse);
  }

  static <C> Admission<C> ofRefusal(AdmissionRequest<C> call, RefusalReason reason) {
    return new Admission<>(List.of(), List.of(new Refused<>(call, reason)));
  }
}
