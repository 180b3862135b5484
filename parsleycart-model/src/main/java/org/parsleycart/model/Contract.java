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
 * What callers of a route may rely on.
 *
 * @param name the name
 * @param requestKind the nature of the requests
 * @param deadline the time after which an answer is of no use
 * @param latencyObjective the time above which an answer counts as slow
 * @param maximumAttempts the most upstreams that one call is sent to, at least 1
 * @param rank the place in queues, smaller first, in place of the one that the kind implies
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

  /** The most attempts that a contract may allow: each is load on a service that may be failing. */
  public static final int MAXIMUM_ATTEMPTS = 5;

  /** The largest rank, that of the calls to run last. */
  public static final int MAXIMUM_RANK = 1000;

  private static final long DEFAULT_ATTEMPTS = 3;
  private static final Duration LONGEST_DEADLINE = Duration.ofMinutes(5);

  // -- construction

  public Contract {
    requireNonNull(name, "name is null");
    requireNonNull(requestKind, "requestKind is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(latencyObjective, "latencyObjective is null");
    requireNonNull(rank, "rank is null");
  }

  /** Creates a contract whose calls stand in queues as their kind implies. */
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
        kindFrom(reader),
        deadline,
        reader.duration("latencyObjective").orElse(deadline),
        reader.number("maximumAttempts", 1, MAXIMUM_ATTEMPTS).orElse(DEFAULT_ATTEMPTS).intValue(),
        reader.optionalInt("rank", 0, MAXIMUM_RANK));
  }

  private static RequestKind kindFrom(MappingReader reader) {
    if (!reader.has("kind")) {
      reader.report("kind", "nothing", "the kind of request");
    }
    return reader.enumConstant("kind", RequestKind.class).orElse(RequestKind.NON_IDEMPOTENT_WRITE);
  }

  // -- queries

  /** Returns the place in queues; smaller runs first. */
  public int queueRank() {
    return rank.orElse(requestKind.priority());
  }

  /**
   * Returns when the answer to a request becomes late, as far as its deadline tells: a caller that
   * comes back states less time than the contract gives, and what it lost counts.
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
    rank.ifPresent(stated -> builder.with("rank", stated));
    return builder.build();
  }

  @Override
  public Stream<Violation> violations(Configuration configuration) {
    Stream<Violation> objective =
        latencyObjective.compareTo(deadline) > 0
            ? Stream.of(violation("latencyObjective above deadline", "at most the deadline"))
            : Stream.empty();
    Stream<Violation> longest =
        deadline.compareTo(LONGEST_DEADLINE) > 0
            ? Stream.of(violation("deadline " + deadline, "at most " + LONGEST_DEADLINE))
            : Stream.empty();
    return Stream.concat(objective, longest);
  }
}
