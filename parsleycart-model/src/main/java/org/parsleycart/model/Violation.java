package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

/**
 * A rule that a resource violates in the context of its configuration.
 *
 * @param found the invalid value or state
 * @param expected what the rule requires
 */
public record Violation(ResourceReference resource, String found, String expected) {

  // -- construction

  public Violation {
    requireNonNull(resource, "resource is null");
    requireNonNull(found, "found is null");
    requireNonNull(expected, "expected is null");
  }

  // -- Object

  @Override
  public String toString() {
    return resource + ": found " + found + ", expected " + expected;
  }
}
