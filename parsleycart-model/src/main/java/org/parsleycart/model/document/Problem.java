package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

/**
 * One fault found in a document.
 *
 * @param location where the fault stands
 * @param found what stands there
 * @param wanted what is accepted there
 */
public record Problem(SourceLocation location, String found, String wanted) {

  // -- construction

  public Problem {
    requireNonNull(location, "location is null");
    requireNonNull(found, "found is null");
    requireNonNull(wanted, "wanted is null");
  }

  // -- Object

  @Override
  public String toString() {
    return location + ": found " + found + ", wanted " + wanted;
  }
}
