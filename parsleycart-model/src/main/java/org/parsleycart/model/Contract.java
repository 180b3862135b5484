package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalInt;
import java.util.stream.Stream;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.Durations;
import org.parsleycart.model.document.MappingReader;

/**
 * The terms under which calls on a route are handled.
 *
 * @param requestKind the kind of the requests
 * @param deadline the time after which an answer is of no use to the caller
 * @param latencyObjective the time above which an answer counts as slow
 * @param maximumAttempts the maximum number of upstreams to which one call is sent, at least 1
 * @param rank the queue rank, smaller first; overrides the rank implied by the kind
 */
public record Contract(
    String name,
    RequestKind requestKind,
    Duration deadline,
    Duration latencyObjective,
    int maximumAttempts,
    OptionalInt rank)
    implements Resource {
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(2);

  /**
   * Upper bound of {@code maximumAttempts}. Each attempt adds load to a possibly failing service.
   */
  public static final int MAXIMUM_ATTEMPTS = 5;

  /** The largest queue rank; calls with this rank run last. */
  public static final int MAXIMUM_RANK = 1000;

  private static final long DEFAULT_MAXIMUM_ATTEMPTS = 3;
  private static final Duration MAXIMUM_DEADLINE = Duration.ofMinutes(5);

  // -- construction

  public Contract {
    requireNonNull(name, "name is null");
    requireNonNull(requestKind, "requestKind is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(latencyObjective, "latencyObjective is null");
    requireNonNull(rank, "rank is null");
  }

  /** Creates a contract whose queue rank is implied by the kind of the requests. */
  public Contract(
      String name,
      RequestKind requestKind,
      Duration deadline,
      Duration latencyObjective,
      int maximumAttempts) {
    this(name, requestKind, deadline, latencyObjective, maximumAttempts, OptionalInt.empty());
  }

  static Contract from(MappingReader reader) {
    Duration deadline = reader.duration("deadline").orElse(DEFAULT_DEADLINE);
    return new Contract(
        reader.requiredName("name"),
        readRequestKind(reader),
        deadline,
        reader.duration("latencyObjective").orElse(deadline),
        reader
            .number("maximumAttempts", 1, MAXIMUM_ATTEMPTS)
            .orElse(DEFAULT_MAXIMUM_ATTEMPTS)
            .intValue(),
        reader.optionalInt("rank", 0, MAXIMUM_RANK));
  }

  private static RequestKind readRequestKind(MappingReader reader) {
    if (!reader.has("kind")) {
      reader.report("kind", "nothing", "the kind of request");
    }
    return reader.enumConstant("kind", RequestKind.class).orElse(RequestKind.NON_IDEMPOTENT_WRITE);
  }

  // -- queries

  /** Returns the queue rank; calls with a smaller rank run first. */
  public int queueRank() {
    return rank.orElse(requestKind.priority());
  }

  /**
   * Returns the instant from which the answer to a call misses the latency objective.
   *
   * <p>The instant is derived from the deadline of the call: a caller that retries sends less time
   * than the contract allows, and the time that it has already spent counts.
   *
   * @param callDeadline the deadline of the call
   */
  public Instant lateAt(Instant callDeadline) {
    return callDeadline.minus(deadline).plus(latencyObjective);
  }

  // -- Resource

  @Override
  public ResourceKind kind() {
    return ResourceKind.CONTRACT;
  }

  @Override
  public Document.Mapping toDocument() {
    Document.MappingBuilder builder =
        Document.mapping()
            .with("name", name)
            .with("kind", requestKind.toString())
            .with("deadline", Durations.format(deadline))
            .with("latencyObjective", Durations.format(latencyObjective))
            .with("maximumAttempts", maximumAttempts);
    rank.ifPresent(value -> builder.with("rank", value));
    return builder.build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    Stream<Violation> excessiveObjective =
        latencyObjective.compareTo(deadline) > 0
            ? Stream.of(
                violation(
                    "latencyObjective " + Durations.format(latencyObjective),
                    "at most the deadline, " + Durations.format(deadline)))
            : Stream.empty();
    Stream<Violation> excessiveDeadline =
        deadline.compareTo(MAXIMUM_DEADLINE) > 0
            ? Stream.of(
                violation(
                    "deadline " + Durations.format(deadline),
                    "at most " + Durations.format(MAXIMUM_DEADLINE)))
            : Stream.empty();
    return Stream.concat(excessiveObjective, excessiveDeadline);
  }
}
