package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight its share in proportion to the sum of the route's weights; 0 takes nothing
 */
public record WeightedService(String service, long weight) {
  private static final long LARGEST_WEIGHT = 1_000_000;

  // -- construction

  public WeightedService {
    requireNonNull(service, "service is null");
    if (weight < 0) {
      throw new IllegalArgumentException("weight is negative");
    }
  }

  /** Returns the destination of a route that leads to one service only. */
  public static WeightedService single(String service) {
    return new WeightedService(service, 1);
  }

  static WeightedService from(MappingReader reader) {
    WeightedService destination =
        new WeightedService(
            reader.requiredName("service"), reader.requiredNumber("weight", 0, LARGEST_WEIGHT));
    reader.reportUnknownKeys();
    return destination;
  }

  // -- conversion

  Document.Mapping toDocument() {
    return Document.mapping().with("service", service).with("weight", weight).build();
  }
}
