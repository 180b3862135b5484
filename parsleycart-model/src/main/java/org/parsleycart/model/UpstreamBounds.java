package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * The limits of one upstream of a service, in addition to its slots for concurrent calls.
 *
 * @param maximumConnections the maximum number of connections from all callers together
 * @param coldCallsPerSecond the maximum rate of calls to a cold upstream, per second
 * @param healthPath the path of the health check
 */
public record UpstreamBounds(
    OptionalInt maximumConnections,
    OptionalDouble coldCallsPerSecond,
    Optional<String> healthPath) {
  private static final UpstreamBounds NONE =
      new UpstreamBounds(OptionalInt.empty(), OptionalDouble.empty(), Optional.empty());
  private static final int MAXIMUM_VALUE = 1_000_000;

  // -- construction

  public UpstreamBounds {
    requireNonNull(maximumConnections, "maximumConnections is null");
    requireNonNull(coldCallsPerSecond, "coldCallsPerSecond is null");
    requireNonNull(healthPath, "healthPath is null");
  }

  /** Returns bounds without any limit. */
  public static UpstreamBounds none() {
    return NONE;
  }

  static UpstreamBounds from(MappingReader reader) {
    UpstreamBounds bounds =
        new UpstreamBounds(
            reader.optionalInt("maximumConnections", 1, MAXIMUM_VALUE),
            reader.decimal("coldCallsPerSecond", 0, MAXIMUM_VALUE),
            reader.text("healthPath"));
    reader.reportUnknownKeys();
    return bounds;
  }

  // -- conversion

  Document.MappingBuilder addTo(Document.MappingBuilder builder, String key) {
    if (equals(NONE)) {
      return builder;
    }
    Document.MappingBuilder nested = Document.mapping();
    maximumConnections.ifPresent(value -> nested.with("maximumConnections", value));
    coldCallsPerSecond.ifPresent(rate -> nested.with("coldCallsPerSecond", rate));
    healthPath.ifPresent(path -> nested.with("healthPath", path));
    return builder.with(key, nested.build());
  }
}
