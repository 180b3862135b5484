package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Durations;
import org.parsleycart.model.document.MappingReader;

/**
 * A gradual move of the traffic of one service to a new version within a given time.
 *
 * @param services selects the service by its labels; exactly one service must match
 * @param version the new version
 * @param completeWithin the time from the start until the new version receives all traffic
 * @param startedAt the start, in milliseconds since the epoch
 * @param sharePerMille the share of traffic that the new version receives, in thousandths
 * @param reason the reason for the current phase
 */
public record Rollout(
    String name,
    Selector services,
    String version,
    Duration completeWithin,
    long startedAt,
    int sharePerMille,
    RolloutPhase phase,
    String reason)
    implements Resource {
  /** The share that represents all traffic, in thousandths. */
  public static final int FULL_SHARE_PER_MILLE = 1000;

  private static final Duration DEFAULT_COMPLETE_WITHIN = Duration.ofMinutes(10);

  /** The order in which an active rollout progresses. */
  private static final Comparator<Rollout> PROGRESS =
      Comparator.comparing(Rollout::phase).thenComparing(Rollout::sharePerMille);

  // -- construction

  public Rollout {
    requireNonNull(name, "name is null");
    requireNonNull(services, "services is null");
    requireNonNull(version, "version is null");
    requireNonNull(completeWithin, "completeWithin is null");
    requireNonNull(phase, "phase is null");
    requireNonNull(reason, "reason is null");
  }

  static Rollout from(MappingReader reader) {
    return new Rollout(
        reader.requiredName("name"),
        Selector.from(reader, "services"),
        reader.requiredName("version"),
        reader.duration("completeWithin").orElse(DEFAULT_COMPLETE_WITHIN),
        reader.number("startedAt", 0, Long.MAX_VALUE).orElse(0L),
        reader.number("sharePerMille", 0, FULL_SHARE_PER_MILLE).orElse(0L).intValue(),
        reader.enumConstant("phase", RolloutPhase.class).orElse(RolloutPhase.PROGRESSING),
        reader.text("reason").orElse(""));
  }

  /** Returns a copy with another share of traffic, in thousandths. */
  public Rollout withShare(int newSharePerMille) {
    return new Rollout(
        name, services, version, completeWithin, startedAt, newSharePerMille, phase, reason);
  }

  /** Returns a copy with another start, in milliseconds since the epoch. */
  public Rollout withStart(long newStartedAt) {
    return new Rollout(
        name, services, version, completeWithin, newStartedAt, sharePerMille, phase, reason);
  }

  /** Returns a copy in another phase, with the share of traffic that the phase implies. */
  public Rollout withPhase(RolloutPhase newPhase, String newReason) {
    return new Rollout(
        name,
        services,
        version,
        completeWithin,
        startedAt,
        newPhase.sharePerMille(sharePerMille),
        newPhase,
        newReason);
  }

  // -- queries

  /**
   * Returns whether this is a later state of the same move than the other one. The progress of a
   * move never goes back: a phase that is not active is final, and the share only grows.
   */
  public boolean isFurtherThan(Rollout other) {
    boolean isSameMove =
        name.equals(other.name)
            && version.equals(other.version)
            && completeWithin.equals(other.completeWithin);
    return isSameMove
        && other.phase.isActive()
        && (!phase.isActive() || PROGRESS.compare(this, other) > 0);
  }

  /** Returns the service whose traffic this rollout moves, or empty if none matches. */
  public Optional<Service> target(Configuration configuration) {
    return configuration.services().stream()
        .filter(service -> services.matches(service.selectableLabels()))
        .findFirst();
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.ROLLOUT;
  }

  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder = Document.mapping().with("name", name);
    return services
        .addTo(builder, "services")
        .with("version", version)
        .with("completeWithin", Durations.format(completeWithin))
        .with("startedAt", startedAt)
        .with("sharePerMille", sharePerMille)
        .with("phase", phase.toString())
        .with("reason", reason)
        .build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    if (!phase.isActive()) {
      return Stream.empty();
    }
    long matched =
        configuration.services().stream()
            .filter(service -> services.matches(service.selectableLabels()))
            .count();
    if (matched != 1) {
      String found = "a selector that matches " + matched + " services: " + services;
      return Stream.of(violation(found, "exactly one service"));
    }
    return target(configuration).stream().flatMap(service -> conflicts(configuration, service));
  }

  private Stream<Violation> conflicts(Configuration configuration, Service service) {
    Stream<Violation> sameVersion =
        service.version().equals(Optional.of(version))
            ? Stream.of(violation("the current version, " + version, "another version"))
            : Stream.empty();
    Stream<Violation> others =
        configuration.rollouts().stream()
            .filter(other -> other.phase().isActive())
            .filter(other -> other.name().compareTo(name) < 0)
            .filter(other -> other.target(configuration).equals(Optional.of(service)))
            .map(
                other ->
                    violation(
                        "a second active rollout of " + service.name(), "one active rollout"));
    return Stream.concat(sameVersion, others);
  }
}
