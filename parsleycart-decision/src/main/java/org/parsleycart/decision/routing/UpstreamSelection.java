package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects the upstream of a call: the less loaded of two candidates drawn at random. Candidates in
 * the local zone are preferred while they have capacity. Candidates in other zones are chosen when
 * they are clearly less loaded.
 *
 * <p>The cost does not grow with the number of upstreams unless no drawn candidate is usable.
 */
public final class UpstreamSelection {
  private static final double SPILLOVER_UTILIZATION = 0.8;
  private static final double OTHER_ZONE_UTILIZATION_PENALTY = 0.2;
  private static final int MAXIMUM_DRAWS = 6;
  private static final int EJECTION_SAMPLE_SIZE = 16;

  private final UpstreamLoadTable loads;

  // -- construction

  public UpstreamSelection(UpstreamLoadTable loads) {
    this.loads = requireNonNull(loads, "loads is null");
  }

  // -- decision

  /**
   * Selects an upstream.
   *
   * @param pool the candidates
   * @param tried identifiers of the upstreams that this call has already tried
   * @param random the source of the random draws
   * @return the selected upstream, or empty if each has been tried or leaves
   */
  public Optional<Candidate> choose(
      CandidatePool pool, Set<String> tried, Instant now, RandomGenerator random) {
    requireNonNull(pool, "pool is null");
    Predicate<Candidate> isUsable = isUsable(pool, tried, now);
    Optional<Candidate> local = lessLoadedOfTwo(pool.localZone(), isUsable, random);
    if (local.isPresent() && utilization(local.get()) < SPILLOVER_UTILIZATION) {
      return local;
    }
    Optional<Candidate> other = lessLoadedOfTwo(pool.otherZones(), isUsable, random);
    if (local.isPresent() && other.isPresent()) {
      boolean isOtherZoneBetter =
          utilization(other.get()) + OTHER_ZONE_UTILIZATION_PENALTY < utilization(local.get());
      return isOtherZoneBetter ? other : local;
    }
    return local.or(() -> other).or(() -> pool.all().filter(isUntried(tried, now)).findFirst());
  }

  /**
   * Returns the predicate of candidates that may be drawn. It excludes ejected candidates unless
   * they are more than half of a sample of the pool.
   */
  private Predicate<Candidate> isUsable(CandidatePool pool, Set<String> tried, Instant now) {
    Predicate<Candidate> isUntried = isUntried(tried, now);
    long sampled = Math.min(EJECTION_SAMPLE_SIZE, pool.size());
    long ejected =
        pool.all()
            .limit(EJECTION_SAMPLE_SIZE)
            .filter(candidate -> isEjected(candidate, now))
            .count();
    return ejected * 2 > sampled
        ? isUntried
        : isUntried.and(candidate -> !isEjected(candidate, now));
  }

  private Predicate<Candidate> isUntried(Set<String> tried, Instant now) {
    return candidate ->
        !tried.contains(candidate.identifier()) && !loads.of(candidate).isLeaving(now);
  }

  private boolean isEjected(Candidate candidate, Instant now) {
    return loads.of(candidate).isEjected(now);
  }

  private Optional<Candidate> lessLoadedOfTwo(
      List<Candidate> zoneCandidates, Predicate<Candidate> isUsable, RandomGenerator random) {
    Optional<Candidate> first = draw(zoneCandidates, isUsable, random);
    if (first.isEmpty() || zoneCandidates.size() == 1) {
      return first;
    }
    return draw(zoneCandidates, isUsable, random)
        .filter(second -> utilization(second) < utilization(first.get()))
        .or(() -> first);
  }

  private static Optional<Candidate> draw(
      List<Candidate> zoneCandidates, Predicate<Candidate> isUsable, RandomGenerator random) {
    for (int draw = 0; draw < MAXIMUM_DRAWS && !zoneCandidates.isEmpty(); draw++) {
      Candidate candidate = zoneCandidates.get(random.nextInt(zoneCandidates.size()));
      if (isUsable.test(candidate)) {
        return Optional.of(candidate);
      }
    }
    return zoneCandidates.stream().filter(isUsable).findFirst();
  }

  private double utilization(Candidate candidate) {
    return loads.of(candidate).utilization();
  }
}
