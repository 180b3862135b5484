package org.parsleycart.model;

import java.util.stream.Stream;
import org.parsleycart.model.document.Document;

/** A named resource of a configuration. */
public sealed interface Resource
    permits CallerLimits,
        AvailabilityZone,
        Contract,
        Organisation,
        Publication,
        Rollout,
        Route,
        Service,
        Withdrawal {

  /** Returns the name, unique among resources of one kind. */
  String name();

  ResourceKind kind();

  /** Converts this resource to a document that {@link ResourceKind#read} reads. */
  Document.Mapping toDocument();

  /** Returns the rules that this resource violates in the given configuration. */
  Stream<Violation> violations(Configuration configuration);

  /** Returns the kind and name of this resource. */
  default ResourceReference reference() {
    return new ResourceReference(kind(), name());
  }

  /** Creates a violation of this resource. */
  default Violation violation(String found, String expected) {
    return new Violation(reference(), found, expected);
  }
}
