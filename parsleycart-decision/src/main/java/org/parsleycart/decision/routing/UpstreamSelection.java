package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Selects the upstream of a call.
 *
 * <p>With two choices it is the less loaded of two candidates drawn at random. Candidates in the
 * local zone are preferred while they have capacity. Candidates in other zones are chosen when they
 * are clearly less loaded.
 *
 * <p>With the expected end, where upstreams state no pace, the two candidates of a zone are
 * compared by their load and by how long their calls take. Where they state a pace, it is the best
 * by {@link EndEstimator} of the upstreams that reported last to this daemon and a few drawn at
 * random. A report goes to one daemon, so that daemons which choose by their latest reports do not
 * choose the same upstream.
 *
 * <p>The cost does not grow with the number of upstreams unless no drawn candidate is usable.
 */
public final class UpstreamSelection {
  private static final double SPILLOVER_UTILIZATION = 0.8;
  private static final double OTHER_ZONE_UTILIZATION_PENALTY = 0.2;
  private static final int MAXIMUM_DRAWS = 6;
  private static final int EJECTION_SAMPLE_SIZE = 16;

  /** Candidates drawn in the local zone, and again in all others, beside those that reported. */
  private static final int DRAWN_CANDIDATES = 2;

  /** The candidates of a zone up to which all are compared. */
  private static final int MAXIMUM_COMPARED = 6;

  private final UpstreamLoadTable loads;
  private final Balancing balancing;
  private final EndEstimator estimator;

  private record CostOfChoice(Candidate candidate, double cost) {}

  // -- construction

  /** Creates a selection by two choices. */
  public UpstreamSelection(UpstreamLoadTable loads) {
    this(loads, Balancing.TWO_CHOICES);
  }

  public UpstreamSelection(UpstreamLoadTable loads, Balancing balancing) {
    this.loads = requireNonNull(loads, "loads is null");
    this.balancing = requireNonNull(balancing, "balancing is null");
    this.estimator = new EndEstimator(loads);
  }

  // -- decision

  /** Selects an upstream for a call without a deadline. */
  public Optional<Candidate> choose(
      CandidatePool pool, Set<String> tried, Instant now, RandomGenerator random) {
    return choose(pool, tried, now, Instant.MAX, random);
  }

  /**
   * Selects an upstream.
   *
   * @param pool the candidates
   * @param tried identifiers of the upstreams that this call has already tried
   * @param deadline when an answer becomes useless
   * @param random the source of the random draws
   * @return the selected upstream, or empty if each has been tried or leaves
   */
  public Optional<Candidate> choose(
      CandidatePool pool,
      Set<String> tried,
      Instant now,
      Instant deadline,
      RandomGenerator random) {
    requireNonNull(pool, "pool is null");
    requireNonNull(deadline, "deadline is null");
    Predicate<Candidate> isUsable = isUsable(pool, tried, now);
    Optional<Candidate> chosen =
        balancing == Balancing.EXPECTED_END && isPaced(pool)
            ? earliestEnd(pool, isUsable, now, deadline, random)
            : lessUtilized(pool, isUsable, random);
    return chosen.or(() -> pool.all().filter(isUntried(tried, now)).findFirst());
  }

  private boolean isPaced(CandidatePool pool) {
    return pool.all().findFirst().filter(any -> loads.findService(any).isPaced()).isPresent();
  }

  private Optional<Candidate> earliestEnd(
      CandidatePool pool,
      Predicate<Candidate> isUsable,
      Instant now,
      Instant deadline,
      RandomGenerator random) {
    Stream<Candidate> drawn =
        Stream.concat(
            sample(pool.localZone(), isUsable, random),
            sample(pool.otherZones(), isUsable, random));
    Stream<Candidate> recent =
        pool.all().findFirst().map(loads::findService).stream()
            .flatMap(service -> service.recentUpstreams().stream())
            .flatMap(upstream -> pool.find(upstream).stream())
            .filter(isUsable);
    return Stream.concat(drawn, recent)
        .map(candidate -> new CostOfChoice(candidate, cost(pool, candidate, now, deadline)))
        .min(Comparator.comparingDouble(CostOfChoice::cost))
        .map(CostOfChoice::candidate);
  }

  private double cost(CandidatePool pool, Candidate candidate, Instant now, Instant deadline) {
    return estimator.estimate(candidate, pool.isInLocalZone(candidate), now, deadline).cost();
  }

  /**
   * Returns the usable candidates of a small zone, and some drawn at random of a larger one. The
   * order is random, so that daemons do not agree on one of several equal candidates.
   */
  private static Stream<Candidate> sample(
      List<Candidate> zoneCandidates, Predicate<Candidate> isUsable, RandomGenerator random) {
    int size = zoneCandidates.size();
    if (size > MAXIMUM_COMPARED) {
      return IntStream.range(0, DRAWN_CANDIDATES)
          .mapToObj(count -> draw(zoneCandidates, isUsable, random))
          .flatMap(Optional::stream);
    }
    int first = random.nextInt(Math.max(1, size));
    return IntStream.range(0, size)
        .mapToObj(index -> zoneCandidates.get((first + index) % size))
        .filter(isUsable);
  }

  private Optional<Candidate> lessUtilized(
      CandidatePool pool, Predicate<Candidate> isUsable, RandomGenerator random) {
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
    return local.or(() -> other);
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
        !tried.contains(candidate.identifier())
            && loads.find(candidate).filter(load -> load.isLeaving(now)).isEmpty();
  }

  private boolean isEjected(Candidate candidate, Instant now) {
    return loads.find(candidate).filter(load -> load.isEjected(now)).isPresent();
  }

  private Optional<Candidate> lessLoadedOfTwo(
      List<Candidate> zoneCandidates, Predicate<Candidate> isUsable, RandomGenerator random) {
    Optional<Candidate> first = draw(zoneCandidates, isUsable, random);
    if (first.isEmpty() || zoneCandidates.size() == 1) {
      return first;
    }
    return draw(zoneCandidates, isUsable, random)
        .filter(second -> loadWeight(second) < loadWeight(first.get()))
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

  /** Returns the figure by which two candidates of a zone are compared. */
  private double loadWeight(Candidate candidate) {
    return balancing == Balancing.TWO_CHOICES
        ? utilization(candidate)
        : loads.of(candidate).utilizationTime();
  }

  // -- queries

  public Balancing balancing() {
    return balancing;
  }

  /**
   * Explains how each candidate would be considered for a call now. Changes nothing and draws no
   * candidates, so that the cost grows with the number of candidates.
   */
  public List<CandidateView> explain(
      CandidatePool pool, Set<String> tried, Instant now, Instant deadline) {
    requireNonNull(pool, "pool is null");
    requireNonNull(tried, "tried is null");
    Predicate<Candidate> isUsable = isUsable(pool, tried, now);
    return pool.all()
        .map(candidate -> view(pool, candidate, isUsable, tried, now, deadline))
        .toList();
  }

  private CandidateView view(
      CandidatePool pool,
      Candidate candidate,
      Predicate<Candidate> isUsable,
      Set<String> tried,
      Instant now,
      Instant deadline) {
    boolean isInLocalZone = pool.isInLocalZone(candidate);
    Optional<UpstreamLoad> load = loads.find(candidate);
    CallEstimate estimate = estimator.estimate(candidate, isInLocalZone, now, deadline);
    return new CandidateView(
        candidate,
        isInLocalZone,
        load.map(UpstreamLoad::inFlight).orElse(0),
        load.flatMap(known -> known.reportAge(now)),
        estimate,
        balancing == Balancing.TWO_CHOICES
            ? load.orElseGet(() -> new UpstreamLoad(candidate.identifier(), new ServiceLoad()))
                .utilization()
            : estimate.cost(),
        isUsable.test(candidate)
            ? Optional.empty()
            : Optional.of(exclusion(load, tried, candidate, now)));
  }

  private static CandidateView.Exclusion exclusion(
      Optional<UpstreamLoad> load, Set<String> tried, Candidate candidate, Instant now) {
    if (tried.contains(candidate.identifier())) {
      return CandidateView.Exclusion.TRIED;
    }
    return load.filter(known -> known.isLeaving(now)).isPresent()
        ? CandidateView.Exclusion.LEAVING
        : CandidateView.Exclusion.EJECTED;
  }
}
