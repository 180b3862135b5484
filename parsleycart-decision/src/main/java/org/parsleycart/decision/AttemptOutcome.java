package org.parsleycart.decision;

import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.model.RequestKind;

/** What is known about a call after one attempt. */
public enum AttemptOutcome {
  /** The upstream answered; the answer is the caller's. */
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
  /** The upstream may have run the request, and no whole answer came back. */
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

  /** Returns whether a request of the given kind may be tried again after this outcome. */
  public abstract boolean mayRetry(RequestKind kind);

  /** Returns the outcome with the given label. */
  public static Optional<AttemptOutcome> ofLabel(String label) {
    return Stream.of(values()).filter(outcome -> outcome.label.equals(label)).findFirst();
  }

  @Override
  public String toString() {
    return label;
  }
}
