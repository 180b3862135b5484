package org.parsleycart.decision.admission;

/** How much of its announced slots an upstream can bear, as far as measured. */
public enum UpstreamCondition {
  /** Just started or fallen back; bears only the cold limit. */
  COLD("cold", false),
  /** Proved more than the cold limit and less than its slots. */
  WARMING("warming", false),
  /** Proved all of its slots, or as many as its latency allows. */
  WARM("warm", true);

  private final String label;
  private final boolean slownessCounts;

  UpstreamCondition(String label, boolean slownessCounts) {
    this.label = label;
    this.slownessCounts = slownessCounts;
  }

  /** Returns whether a slow answer in this condition speaks against the version. */
  public boolean slownessCounts() {
    return slownessCounts;
  }

  @Override
  public String toString() {
    return label;
  }
}
