package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.model.Route;
import org.parsleycart.model.Service;
import org.parsleycart.model.WeightedService;

/**
 * Explains where the calls of a route would go now. It makes trial decisions with the code that
 * routes calls and counts their results, so that it agrees with them whatever rule they follow.
 *
 * <p>It changes nothing: the trials use a generator of their own and a copy of the load table, in
 * which the loads of upstreams without calls are created.
 */
public final class RoutingExplanation {
  /** Enough to show shares of one per cent; a trial costs some microseconds. */
  private static final int TRIALS = 1_000;

  /** The same state gets the same answer. */
  private static final long SEED = 1;

  private final RoutingState state;
  private final UpstreamLoadTable loads;
  private final UpstreamSelection selection;
  private final Set<String> tried;
  private final Instant now;
  private final Instant deadline;

  /** The results of the trials for one service. */
  private record Trials(Map<VersionChoice, Integer> choices, Map<Candidate, Integer> candidates) {
    Trials() {
      this(new LinkedHashMap<>(), new HashMap<>());
    }

    int withUpstream() {
      return candidates.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  // -- construction

  /**
   * Creates an explanation.
   *
   * @param tried identifiers of the upstreams that the call has already tried
   * @param deadline when an answer becomes useless
   */
  public RoutingExplanation(RoutingState state, Set<String> tried, Instant now, Instant deadline) {
    this.state = requireNonNull(state, "state is null");
    this.loads = state.loads().copy();
    this.selection = new UpstreamSelection(loads, state.balancing());
    this.tried = Set.copyOf(tried);
    this.now = requireNonNull(now, "now is null");
    this.deadline = requireNonNull(deadline, "deadline is null");
  }

  // -- explanation

  /** Explains the choice of versions and upstreams for each service of a route. */
  public List<ServiceExplanation> explain(Route route) {
    return route.destinations().stream()
        .flatMap(
            destination ->
                state.configuration().service(destination.service()).stream()
                    .map(service -> explain(destination, service)))
        .toList();
  }

  private ServiceExplanation explain(WeightedService destination, Service service) {
    Trials trials = runTrials(service);
    List<ServiceExplanation.Versions> versions =
        trials.choices().entrySet().stream()
            .map(entry -> new ServiceExplanation.Versions(entry.getKey(), entry.getValue()))
            .toList();
    return new ServiceExplanation(
        service.name(),
        destination.weight(),
        state.configuration().activeRollout(service.name()),
        versions,
        state.members().stream()
            .flatMap(member -> explainUpstreams(service, member, trials))
            .sorted(
                Comparator.comparingInt(ServiceExplanation.Upstream::chosenPerMille)
                    .reversed()
                    .thenComparing(upstream -> upstream.candidate().identifier()))
            .toList(),
        TRIALS - trials.withUpstream());
  }

  private Trials runTrials(Service service) {
    Trials trials = new Trials();
    SplittableRandom random = new SplittableRandom(SEED);
    for (int trial = 0; trial < TRIALS; trial++) {
      VersionChoice choice =
          VersionChoice.of(state.configuration(), service, state.facts(), random);
      trials.choices().merge(choice, 1, Integer::sum);
      choice
          .firstOf(
              state.directory(),
              service.name(),
              pool -> selection.choose(pool, tried, now, deadline, random))
          .ifPresent(candidate -> trials.candidates().merge(candidate, 1, Integer::sum));
    }
    return trials;
  }

  private Stream<ServiceExplanation.Upstream> explainUpstreams(
      Service service, MemberRecord member, Trials trials) {
    return member.upstreams().stream()
        .filter(upstream -> upstream.service().equals(service.name()))
        .map(
            upstream ->
                new Candidate(upstream, member.identifier(), member.zone(), member.callAddress()))
        .map(candidate -> explain(member, candidate, trials));
  }

  private ServiceExplanation.Upstream explain(
      MemberRecord member, Candidate candidate, Trials trials) {
    int chosen = trials.candidates().getOrDefault(candidate, 0);
    UpstreamLoad load = loads.of(candidate);
    boolean isZoneWithdrawn = state.facts().isWithdrawn(state.configuration(), member.zone());
    Optional<Exclusion> exclusion =
        chosen > 0
            ? Optional.empty()
            : Exclusion.fromDirectory(member, candidate.upstream(), isZoneWithdrawn)
                .or(() -> exclusionByVersion(candidate, trials.choices().keySet()))
                .or(() -> exclusionByLoad(candidate, load));
    return new ServiceExplanation.Upstream(
        candidate,
        exclusion,
        load.outstandingCalls(),
        load.utilization(),
        load.reportAge(now),
        chosen,
        view(candidate));
  }

  /** Returns how the selection compares a candidate, empty for one that gets no calls. */
  private Optional<CandidateView> view(Candidate candidate) {
    CandidatePool pool =
        state.directory().pool(candidate.upstream().service(), candidate.upstream().version());
    return selection.explain(pool, tried, now, deadline).stream()
        .filter(view -> view.candidate().equals(candidate))
        .findFirst();
  }

  private static Optional<Exclusion> exclusionByVersion(
      Candidate candidate, Collection<VersionChoice> choices) {
    String version = candidate.upstream().version();
    if (choices.stream().anyMatch(choice -> choice.versions().matches(version))) {
      return Optional.empty();
    }
    boolean isFallback =
        choices.stream()
            .flatMap(choice -> choice.fallback().stream())
            .anyMatch(fallback -> fallback.matches(version));
    return Optional.of(isFallback ? Exclusion.FALLBACK_VERSION : Exclusion.OTHER_VERSION);
  }

  private Optional<Exclusion> exclusionByLoad(Candidate candidate, UpstreamLoad load) {
    if (tried.contains(candidate.identifier())) {
      return Optional.of(Exclusion.TRIED);
    }
    if (load.isLeaving(now)) {
      return Optional.of(Exclusion.LEAVING);
    }
    return load.isEjected(now) ? Optional.of(Exclusion.EJECTED) : Optional.empty();
  }
}
