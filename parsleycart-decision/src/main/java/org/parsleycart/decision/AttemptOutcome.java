package org.parsleycart.decision;

import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.model.RequestKind;

/** The result of one attempt of a call. It decides whether a retry is safe. */
public enum AttemptOutcome {
  /** The upstream answered, and its answer is returned to the caller. */
  ANSWERED("answered") {
    @Override
    public boolean mayRetry(RequestKind kind) {
      return false;
    }
  },
  /** No byte of the request reached an upstream. */
  NOT_RUN("not-run") {
    @Override
    public boolean mayRetry(RequestKind kind) {
      return true;
    }
  },
  /** The upstream may have run the request, but no complete answer was received. */
  UNKNOWN("unknown") {
    @Override
    public boolean mayRetry(RequestKind kind) {
      return kind.isIdempotent();
    }
  };

  private final String label;

  AttemptOutcome(String label) {
    this.label = label;
  }

  /** Returns whether a request of the given kind may be retried after this outcome. */
  public abstract boolean mayRetry(RequestKind kind);

  /** Returns the outcome with the given label, or empty when no outcome has it. */
  public static Optional<AttemptOutcome> ofLabel(String label) {
    return Stream.of(values()).filter(outcome -> outcome.label.equals(label)).findFirst();
  }

  @Override
  public String toString() {
    return label;
  }
}
