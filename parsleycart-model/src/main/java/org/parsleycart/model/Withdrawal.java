package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * Withdraws the availability zones that a selector matches from service while it exists.
 *
 * @param zones selects the zones by their labels
 */
public record Withdrawal(String name, Selector zones) implements Resource {

  // -- construction

  public Withdrawal {
    requireNonNull(name, "name is null");
    requireNonNull(zones, "zones is null");
  }

  static Withdrawal from(MappingReader reader) {
    return new Withdrawal(reader.requiredName("name"), Selector.from(reader, "zones"));
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.WITHDRAWAL;
  }

  @Override
  public Document.Mapping toDocument() {
    return zones.addTo(Document.mapping().with("name", name), "zones").build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    if (zones.labels().isEmpty()) {
      return Stream.of(violation("a selector without labels", "at least one label"));
    }
    boolean matched =
        configuration.zones().stream().anyMatch(zone -> zones.matches(zone.selectableLabels()));
    return matched
        ? Stream.empty()
        : Stream.of(violation("a selector that matches no zone: " + zones, "an existing zone"));
  }
}
