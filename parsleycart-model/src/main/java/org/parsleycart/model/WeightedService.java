package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight its share relative to the sum of the route's weights; 0 receives no requests
 */
public record WeightedService(String service, long weight) {
  private static final long MAXIMUM_WEIGHT = 1_000_000;

  // -- construction

  public WeightedService {
    requireNonNull(service, "service is null");
    if (weight < 0) {
      throw new IllegalArgumentException("weight is negative: " + weight);
    }
  }

  /** Returns the only destination of a route. */
  public static WeightedService single(String service) {
    return new WeightedService(service, 1);
  }

  static WeightedService from(MappingReader reader) {
    WeightedService destination =
        new WeightedService(
            reader.requiredName("service"), reader.requiredNumber("weight", 0, MAXIMUM_WEIGHT));
    reader.reportUnknownKeys();
    return destination;
  }

  // -- conversion

  Document.Mapping toDocument() {
    return Document.mapping().with("service", service).with("weight", weight).build();
  }
}
