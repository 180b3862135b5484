package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * What one upstream of a service bears beside its slots.
 *
 * @param maximumConnections the most connections from all callers together
 * @param coldCallsPerSecond the calls that a cold upstream bears in each second
 * @param healthPath the path that tells its health
 */
public record UpstreamBounds(
    OptionalInt maximumConnections,
    OptionalDouble coldCallsPerSecond,
    Optional<String> healthPath) {
  private static final UpstreamBounds NONE =
      new UpstreamBounds(OptionalInt.empty(), OptionalDouble.empty(), Optional.empty());
  private static final int MOST_CONNECTIONS = 1_000_000;

  // -- construction

  public UpstreamBounds {
    requireNonNull(maximumConnections, "maximumConnections is null");
    requireNonNull(coldCallsPerSecond, "coldCallsPerSecond is null");
    requireNonNull(healthPath, "healthPath is null");
  }

  /** Returns bounds that say nothing. */
  public static UpstreamBounds none() {
    return NONE;
  }

  static UpstreamBounds from(MappingReader reader) {
    UpstreamBounds bounds =
        new UpstreamBounds(
            reader.optionalInt("maximumConnections", 1, MOST_CONNECTIONS),
            reader.decimal("coldCallsPerSecond", 0, MOST_CONNECTIONS),
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
    maximumConnections.ifPresent(most -> nested.with("maximumConnections", most));
    coldCallsPerSecond.ifPresent(rate -> nested.with("coldCallsPerSecond", rate));
    healthPath.ifPresent(path -> nested.with("healthPath", path));
    return builder.with(key, nested.build());
  }
}
