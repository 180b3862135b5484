package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * An availability zone, which operators can withdraw from service.
 *
 * @param labels the labels that selectors match in addition to {@code name}
 */
public record AvailabilityZone(String name, Map<String, String> labels) implements Resource {

  // -- construction

  public AvailabilityZone {
    requireNonNull(name, "name is null");
    labels = Map.copyOf(labels);
  }

  static AvailabilityZone from(MappingReader reader) {
    return new AvailabilityZone(reader.requiredName("name"), reader.texts("labels"));
  }

  // -- queries

  /** Returns the labels that selectors match, including the label {@code name}. */
  public Map<String, String> selectableLabels() {
    return Labels.withName(labels, name);
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.AVAILABILITY_ZONE;
  }

  @Override
  public Document.Mapping toDocument() {
    return Document.mapping().with("name", name).withTexts("labels", new TreeMap<>(labels)).build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    return Stream.empty();
  }
}
