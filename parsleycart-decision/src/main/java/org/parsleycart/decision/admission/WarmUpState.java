package org.parsleycart.decision.admission;

/** How many of its announced slots an upstream has been observed to sustain. */
public enum WarmUpState {
  /** Just started or cold again; sustains only the cold limit. */
  COLD("cold"),
  /** Sustains more than the cold limit and less than all of its slots. */
  WARMING("warming"),
  /** Sustains all of its slots, or as many as its latency allows. */
  WARM("warm");

  private final String label;

  WarmUpState(String label) {
    this.label = label;
  }

  @Override
  public String toString() {
    return label;
  }
}
