package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

/**
 * A problem found in a document.
 *
 * @param found the value found at the location
 * @param expected what is accepted at the location
 */
public record Problem(SourceLocation location, String found, String expected) {

  // -- construction

  public Problem {
    requireNonNull(location, "location is null");
    requireNonNull(found, "found is null");
    requireNonNull(expected, "expected is null");
  }

  // -- Object

  @Override
  public String toString() {
    return location + ": found " + found + ", expected " + expected;
  }
}
