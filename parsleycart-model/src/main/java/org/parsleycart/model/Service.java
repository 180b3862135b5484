package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Durations;
import org.parsleycart.model.document.MappingReader;

/**
 * A service that upstreams provide.
 *
 * @param name the name under which upstreams announce themselves
 * @param version the version that receives all traffic outside rollouts, or empty for every version
 *     that no rollout holds back
 * @param warmUp the time for which an upstream is slow after its start
 * @param bounds the limits of one upstream in addition to its slots for concurrent calls
 * @param labels the labels that selectors match in addition to {@code name}
 */
public record Service(
    String name,
    Optional<String> version,
    Duration warmUp,
    UpstreamBounds bounds,
    Map<String, String> labels)
    implements Resource {
  private static final Duration DEFAULT_WARM_UP = Duration.ofSeconds(10);

  // -- construction

  public Service {
    requireNonNull(name, "name is null");
    requireNonNull(version, "version is null");
    requireNonNull(warmUp, "warmUp is null");
    requireNonNull(bounds, "bounds is null");
    labels = Map.copyOf(labels);
  }

  /** Creates a service whose upstreams have no limits except their slots. */
  public Service(String name, String version, Duration warmUp, Map<String, String> labels) {
    this(name, Optional.of(version), warmUp, UpstreamBounds.none(), labels);
  }

  static Service from(MappingReader reader) {
    return new Service(
        reader.requiredName("name"),
        reader.text("version"),
        reader.durationAllowingZero("warmUp").orElse(DEFAULT_WARM_UP),
        reader.nested("bounds").map(UpstreamBounds::from).orElseGet(UpstreamBounds::none),
        reader.texts("labels"));
  }

  /** Returns a copy in which another version receives all traffic. */
  public Service withVersion(String newVersion) {
    return new Service(name, Optional.of(newVersion), warmUp, bounds, labels);
  }

  // -- queries

  /** Returns the labels that selectors match, including the label {@code name}. */
  public Map<String, String> selectableLabels() {
    return Labels.withName(labels, name);
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.SERVICE;
  }

  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder = Document.mapping().with("name", name);
    version.ifPresent(value -> builder.with("version", value));
    builder.with("warmUp", Durations.format(warmUp));
    return bounds.addTo(builder, "bounds").withTexts("labels", new TreeMap<>(labels)).build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    return Stream.empty();
  }
}
