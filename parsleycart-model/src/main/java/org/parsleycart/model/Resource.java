package org.parsleycart.model;

import java.util.stream.Stream;
import org.parsleycart.model.document.Document;

/** A named part of a configuration. */
public sealed interface Resource
    permits CallerLimits, AvailabilityZone, Contract, Rollout, Route, Service, Withdrawal {

  /** Returns the name, unique among resources of one kind. */
  String name();

  /** Returns the kind. */
  ResourceKind kind();

  /** Returns the document form that {@link ResourceKind#read} takes back. */
  Document.Mapping toDocument();

  /** Returns what is wrong with this resource as a part of the given configuration. */
  Stream<Violation> violations(Configuration configuration);

  /** Returns the reference that names this resource. */
  default ResourceReference reference() {
    return new ResourceReference(kind(), name());
  }

  /** Returns a violation of this resource. */
  default Violation violation(String found, String wanted) {
    return new Violation(reference(), found, wanted);
  }
}
