package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Durations;
import org.parsleycart.model.document.MappingReader;

/**
 * What callers may send, and how long they may take. A bound that is absent is that of the daemon's
 * settings.
 *
 * @param name the name
 * @param headerBytes the most bytes of names and values of the headers of a request
 * @param bodyBytes the most bytes of a request body
 * @param headerTimeout how long the head of a request may take to arrive
 * @param idleTimeout how long a connection may be without a request
 */
public record CallerLimits(
    String name,
    OptionalLong headerBytes,
    OptionalLong bodyBytes,
    Optional<Duration> headerTimeout,
    Optional<Duration> idleTimeout)
    implements Resource {
  private static final String HEADER_BYTES = "headerBytes";
  private static final String BODY_BYTES = "bodyBytes";
  private static final String HEADER_TIMEOUT = "headerTimeout";
  private static final String IDLE_TIMEOUT = "idleTimeout";
  private static final CallerLimits NONE =
      new CallerLimits(
          "none", OptionalLong.empty(), OptionalLong.empty(), Optional.empty(), Optional.empty());

  // -- construction

  public CallerLimits {
    requireNonNull(name, "name is null");
    requireNonNull(headerBytes, "headerBytes is null");
    requireNonNull(bodyBytes, "bodyBytes is null");
    requireNonNull(headerTimeout, "headerTimeout is null");
    requireNonNull(idleTimeout, "idleTimeout is null");
  }

  /** Returns limits that bound nothing beside the daemon's settings. */
  public static CallerLimits none() {
    return NONE;
  }

  static CallerLimits from(MappingReader reader) {
    return new CallerLimits(
        reader.requiredName("name"),
        reader.optionalLong(HEADER_BYTES, 1, Long.MAX_VALUE),
        reader.optionalLong(BODY_BYTES, 1, Long.MAX_VALUE),
        reader.duration(HEADER_TIMEOUT),
        reader.duration(IDLE_TIMEOUT));
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.CALLER_LIMITS;
  }

  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder = Document.mapping().with("name", name);
    headerBytes.ifPresent(most -> builder.with(HEADER_BYTES, most));
    bodyBytes.ifPresent(most -> builder.with(BODY_BYTES, most));
    headerTimeout.ifPresent(longest -> builder.with(HEADER_TIMEOUT, Durations.format(longest)));
    idleTimeout.ifPresent(longest -> builder.with(IDLE_TIMEOUT, Durations.format(longest)));
    return builder.build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    Stream<CallerLimits> others =
        configuration
            .allResources()
            .filter(CallerLimits.class::isInstance)
            .map(CallerLimits.class::cast)
            .filter(other -> other.name().compareTo(name) < 0);
    return others.map(other -> violation("limits beside " + other.name(), "one set of limits"));
  }
}
