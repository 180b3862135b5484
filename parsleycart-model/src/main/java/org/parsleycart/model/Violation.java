package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

/**
 * One rule that a configuration breaks as a whole.
 *
 * @param resource the resource at fault
 * @param found what it says
 * @param wanted what the rule asks for
 */
public record Violation(ResourceReference resource, String found, String wanted) {

  // -- construction

  public Violation {
    requireNonNull(resource, "resource is null");
    requireNonNull(found, "found is null");
    requireNonNull(wanted, "wanted is null");
  }

  // -- Object

  @Override
  public String toString() {
    return resource + ": found " + found + ", wanted " + wanted;
  }
}
