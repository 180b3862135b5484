package org.parsleycart.decision.routing;

import java.util.Optional;
import java.util.stream.Stream;

/** How an entry daemon balances the calls of a service between its upstreams. */
public enum Balancing {
  /**
   * The less utilized of two upstreams drawn at random, in the local zone while it has capacity.
   */
  TWO_CHOICES("two-choices"),
  /**
   * The upstream where the call is expected to wait least, of those that reported last and some.
   */
  EXPECTED_END("expected-end");

  private final String label;

  Balancing(String label) {
    this.label = label;
  }

  /** Returns the balancing with the label, or empty if there is none. */
  public static Optional<Balancing> ofLabel(String label) {
    return Stream.of(values()).filter(balancing -> balancing.label.equals(label)).findFirst();
  }

  @Override
  public String toString() {
    return label;
  }
}
