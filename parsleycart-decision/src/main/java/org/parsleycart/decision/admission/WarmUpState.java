package org.parsleycart.decision.admission;

/** How much of its announced slots an upstream can bear, as far as measured. */
public enum WarmUpState {
  /** Just started or fallen back; bears only the cold limit. */
  COLD("cold"),
  /** Proved more than the cold limit and less than its slots. */
  WARMING("warming"),
  /** Proved all of its slots, or as many as its latency allows. */
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
