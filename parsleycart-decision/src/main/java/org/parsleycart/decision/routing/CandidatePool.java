package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The candidates for the calls of one service, as seen from one zone. Immutable. */
public final class CandidatePool {
  private static final CandidatePool EMPTY = new CandidatePool(List.of(), List.of());

  private final List<Candidate> localZone;
  private final List<Candidate> otherZones;

  /** The candidates by identifier, built on first use because few pools are searched. */
  private volatile Map<String, Candidate> index;

  /** The local zone; all candidates of the local list are in it. */
  private final Optional<String> zone;

  // -- construction

  /**
   * Creates a pool.
   *
   * @param localZone the candidates in that zone
   * @param otherZones the candidates in all other zones
   */
  public CandidatePool(List<Candidate> localZone, List<Candidate> otherZones) {
    this.localZone = List.copyOf(localZone);
    this.otherZones = List.copyOf(otherZones);
    this.zone = this.localZone.stream().findFirst().map(Candidate::zone);
  }

  public static CandidatePool empty() {
    return EMPTY;
  }

  // -- queries

  public List<Candidate> localZone() {
    return localZone;
  }

  public List<Candidate> otherZones() {
    return otherZones;
  }

  /** Returns the candidate with the identifier, if the pool has it. */
  public Optional<Candidate> find(String identifier) {
    requireNonNull(identifier, "identifier is null");
    Map<String, Candidate> found = index;
    if (found == null) {
      found =
          all()
              .collect(
                  Collectors.toMap(
                      Candidate::identifier, Function.identity(), (first, second) -> first));
      index = found;
    }
    return Optional.ofNullable(found.get(identifier));
  }

  /** Returns whether a candidate of this pool is in the local zone. */
  public boolean isInLocalZone(Candidate candidate) {
    return zone.isPresent() && zone.get().equals(candidate.zone());
  }

  public boolean isEmpty() {
    return localZone.isEmpty() && otherZones.isEmpty();
  }

  public int size() {
    return localZone.size() + otherZones.size();
  }

  /** Returns the candidates of all zones, those in the local zone first. */
  public Stream<Candidate> all() {
    return Stream.concat(localZone.stream(), otherZones.stream());
  }
}
