package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

/** The kind and name of a resource, which identify it in a configuration. */
public record ResourceReference(ResourceKind kind, String name) {

  // -- construction

  public ResourceReference {
    requireNonNull(kind, "kind is null");
    requireNonNull(name, "name is null");
  }

  // -- Object

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
