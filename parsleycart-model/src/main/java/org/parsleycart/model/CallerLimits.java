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
 * Limits on the size and duration of requests from callers. The daemon's settings apply where a
 * limit is absent.
 *
 * @param headerBytes the maximum total size of the header names and values of a request, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the maximum time to receive the head of a request
 * @param idleTimeout the maximum time that a connection stays open without a request
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

  /** Returns limits that leave every value to the daemon's settings. */
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
    headerBytes.ifPresent(bytes -> builder.with(HEADER_BYTES, bytes));
    bodyBytes.ifPresent(bytes -> builder.with(BODY_BYTES, bytes));
    headerTimeout.ifPresent(timeout -> builder.with(HEADER_TIMEOUT, Durations.format(timeout)));
    idleTimeout.ifPresent(timeout -> builder.with(IDLE_TIMEOUT, Durations.format(timeout)));
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
    return others.map(
        other ->
            violation(
                "caller limits in addition to " + other.reference(),
                "a single resource of this kind"));
  }
}
