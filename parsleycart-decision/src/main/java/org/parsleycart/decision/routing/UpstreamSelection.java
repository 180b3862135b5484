package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream of a call: the less loaded of two taken at random, in the near zone as long
 * as it has room, elsewhere when that is clearly better.
 *
 * <p>The cost does not grow with the number of upstreams.
 */
public final class UpstreamSelection {
  private static final double SPILL_ABOVE_UTILIZATION = 0.8;
  private static final double FAR_PENALTY = 0.2;
  private static final int DRAWS = 6;
  private static final int SAMPLE = 16;

  private final UpstreamLoadTable loads;

  // -- construction

  /** Creates a selection over the given loads. */
  public UpstreamSelection(UpstreamLoadTable loads) {
    this.loads = requireNonNull(loads, "loads is null");
  }

  // -- decision

  /**
   * Chooses an upstream.
   *
   * @param pool the upstreams of the version
   * @param tried identifiers of upstreams that this call has tried
   * @param now the time
   * @param random the source of choices
   * @return the upstream, or empty when all have been tried or there is none
   */
  public Optional<Candidate> choose(
      CandidatePool pool, Set<String> tried, Instant now, RandomGenerator random) {
    requireNonNull(pool, "pool is null");
    Predicate<Candidate> usable = usable(pool, tried, now);
    Optional<Candidate> near = lessLoadedOfTwo(pool.localZone(), usable, random);
    if (near.isPresent() && utilization(near.get()) < SPILL_ABOVE_UTILIZATION) {
      return near;
    }
    Optional<Candidate> far = lessLoadedOfTwo(pool.otherZones(), usable, random);
    if (near.isPresent() && far.isPresent()) {
      boolean farIsBetter = utilization(far.get()) + FAR_PENALTY < utilization(near.get());
      return farIsBetter ? far : near;
    }
    return near.or(() -> far)
        .or(() -> pool.all().filter(each -> !tried.contains(each.identifier())).findFirst());
  }

  /** Returns the test of candidates; being set aside counts only while most of the pool is not. */
  private Predicate<Candidate> usable(CandidatePool pool, Set<String> tried, Instant now) {
    Predicate<Candidate> untried = candidate -> !tried.contains(candidate.identifier());
    long sampled = Math.min(SAMPLE, pool.size());
    long setAside = pool.all().limit(SAMPLE).filter(each -> isEjected(each, now)).count();
    return setAside * 2 > sampled ? untried : untried.and(candidate -> !isEjected(candidate, now));
  }

  private boolean isEjected(Candidate candidate, Instant now) {
    return loads.of(candidate).isEjected(now);
  }

  private Optional<Candidate> lessLoadedOfTwo(
      List<Candidate> side, Predicate<Candidate> usable, RandomGenerator random) {
    Optional<Candidate> first = draw(side, usable, random);
    if (first.isEmpty() || side.size() == 1) {
      return first;
    }
    return draw(side, usable, random)
        .filter(second -> utilization(second) < utilization(first.get()))
        .or(() -> first);
  }

  private static Optional<Candidate> draw(
      List<Candidate> side, Predicate<Candidate> usable, RandomGenerator random) {
    for (int draw = 0; draw < DRAWS && !side.isEmpty(); draw++) {
      Candidate candidate = side.get(random.nextInt(side.size()));
      if (usable.test(candidate)) {
        return Optional.of(candidate);
      }
    }
    return side.stream().filter(usable).findFirst();
  }

  private double utilization(Candidate candidate) {
    return loads.of(candidate).utilization();
  }
}
