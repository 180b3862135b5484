package org.parsleycart.decision.rollout;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.message.VersionLoad;
import org.parsleycart.decision.routing.VersionSelector;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;

/**
 * Evaluates one rollout. It compares the calls of the old and the new version route by route, and
 * decides when to increase the share, to complete the rollout, or to roll it back.
 *
 * <p>A new evaluator has no evidence and therefore only waits longer. Two evaluators at once are
 * harmless because the platform applies each forward step conditionally and a rollback is never
 * reversed. Not thread-safe; used by one thread.
 */
public final class RolloutEvaluator {
  private static final Duration HALF_LIFE = Duration.ofSeconds(10);
  private static final Duration RECENT_HALF_LIFE = Duration.ofMillis(100);
  private static final long MINIMUM_CALLS_PER_SHARE = 50;
  private static final double IMPORTANT_ROUTE_CALL_SHARE = 0.05;
  private static final double MAXIMUM_UTILIZATION = 0.8;
  private static final String ALL_ROUTES = "all routes";

  private final Rollout rollout;
  private final VersionSelector oldVersions;
  private final Function<String, Duration> latencyObjectives;
  private final RolloutSchedule schedule;
  private final Map<String, RouteEvidence> evidenceByRoute = new TreeMap<>();
  private final RouteEvidence evidenceOfAllRoutes = RouteEvidence.ofAllRoutes();
  private final Map<ReadingKey, CallCounts> lastCountsByKey = new HashMap<>();
  private final Set<String> knownDaemons = new HashSet<>();
  private Map<String, List<VersionLoad>> loadsByDaemon = Map.of();
  private Optional<Instant> lastObservedAt = Optional.empty();
  private int currentShare = -1;
  private long newVersionCallsAtShareStart;

  private record ReadingKey(String daemon, String version, String route) {}

  // -- construction

  /**
   * Creates an evaluator without evidence.
   *
   * @param oldVersions the versions that the rollout replaces
   * @param latencyObjectives returns the latency objective of a route
   */
  public RolloutEvaluator(
      Rollout rollout, VersionSelector oldVersions, Function<String, Duration> latencyObjectives) {
    this.rollout = requireNonNull(rollout, "rollout is null");
    this.oldVersions = requireNonNull(oldVersions, "oldVersions is null");
    this.latencyObjectives = requireNonNull(latencyObjectives, "latencyObjectives is null");
    this.schedule = RolloutSchedule.of(rollout);
  }

  // -- evidence

  /**
   * Adds the calls that the daemons beside the upstreams have counted.
   *
   * @param readings the counts of each daemon since its start; if a daemon did not answer it is
   *     missing, and its calls count when it answers again
   * @param currentLoads the loads of the upstreams of each daemon
   */
  public void observe(
      Map<String, List<CallCounts>> readings,
      Map<String, List<VersionLoad>> currentLoads,
      Instant now) {
    requireNonNull(readings, "readings is null");
    loadsByDaemon = Map.copyOf(currentLoads);
    decayEvidence(now);
    List<CallCounts> newCounts = new ArrayList<>();
    readings.forEach(
        (daemon, counts) ->
            counts.forEach(each -> newCounts.add(callsSinceLastReading(daemon, each))));
    knownDaemons.addAll(readings.keySet());
    newCounts.stream()
        .filter(each -> oldVersions.matches(each.version()))
        .forEach(this::addOldVersionCalls);
    newCounts.stream()
        .filter(each -> each.version().equals(rollout.version()))
        .forEach(this::addNewVersionCalls);
  }

  private void decayEvidence(Instant now) {
    double elapsed =
        lastObservedAt.map(last -> (double) Duration.between(last, now).toNanos()).orElse(0.0);
    double retainedShare = Math.pow(0.5, elapsed / HALF_LIFE.toNanos());
    double recentRetainedShare = Math.pow(0.5, elapsed / RECENT_HALF_LIFE.toNanos());
    evidenceByRoute
        .values()
        .forEach(evidence -> evidence.decay(retainedShare, recentRetainedShare));
    evidenceOfAllRoutes.decay(retainedShare, recentRetainedShare);
    lastObservedAt = Optional.of(now);
  }

  /** Returns the calls since the last reading. The first reading of a daemon counts no calls. */
  private CallCounts callsSinceLastReading(String daemon, CallCounts counts) {
    ReadingKey key = new ReadingKey(daemon, counts.version(), counts.route());
    CallCounts last = lastCountsByKey.put(key, counts);
    if (last == null) {
      return knownDaemons.contains(daemon) ? counts : counts.since(counts);
    }
    boolean hasRestarted = last.total() > counts.total();
    return counts.since(hasRestarted ? counts : last);
  }

  private void addOldVersionCalls(CallCounts counts) {
    int bucket = LatencyBuckets.indexOf(latencyObjectives.apply(counts.route()));
    evidenceOf(counts).addOldVersionCalls(counts, bucket);
    evidenceOfAllRoutes.addOldVersionCalls(counts, LatencyBuckets.COUNT - 1);
  }

  private void addNewVersionCalls(CallCounts counts) {
    evidenceOf(counts).addNewVersionCalls(counts);
    evidenceOfAllRoutes.addNewVersionCalls(counts);
  }

  private RouteEvidence evidenceOf(CallCounts counts) {
    return evidenceByRoute.computeIfAbsent(counts.route(), unused -> RouteEvidence.ofOneRoute());
  }

  // -- decision

  /**
   * Decides the next action on the rollout.
   *
   * @param current the rollout as recorded in the active configuration
   */
  public RolloutDecision decide(Rollout current, Instant now) {
    requireNonNull(current, "current is null");
    Optional<String> rejection = rejectionReason();
    if (rejection.isPresent()) {
      return new RolloutDecision.RollBack(rejection.get());
    }
    recordShare(current.sharePerMille());
    if (current.phase() == RolloutPhase.SOAKING) {
      return decideWhileSoaking(now);
    }
    OptionalInt nextShare = schedule.nextDueShare(current.sharePerMille(), now);
    if (nextShare.isEmpty()) {
      return new RolloutDecision.Hold("on schedule");
    }
    Optional<String> holdReason = holdReason(nextShare.getAsInt());
    if (holdReason.isPresent()) {
      String overduePrefix = schedule.isOverdue(now) ? "past its deadline: " : "";
      return new RolloutDecision.Hold(overduePrefix + holdReason.get());
    }
    return nextShare.getAsInt() == Rollout.FULL_SHARE_PER_MILLE
        ? new RolloutDecision.Soak()
        : new RolloutDecision.IncreaseShare(nextShare.getAsInt());
  }

  private Optional<String> rejectionReason() {
    return evidenceByRoute.entrySet().stream()
        .flatMap(
            entry ->
                entry.getValue().rejectionReason().stream()
                    .map(reason -> "route " + entry.getKey() + ": " + reason))
        .findFirst()
        .or(() -> evidenceOfAllRoutes.rejectionReason().map(reason -> ALL_ROUTES + ": " + reason));
  }

  private void recordShare(int share) {
    if (share != currentShare) {
      currentShare = share;
      newVersionCallsAtShareStart = evidenceOfAllRoutes.newVersionCalls();
    }
  }

  private RolloutDecision decideWhileSoaking(Instant now) {
    if (!schedule.isSoakComplete(now)) {
      return new RolloutDecision.Hold("soaking");
    }
    return callsAtCurrentShare() < MINIMUM_CALLS_PER_SHARE
        ? new RolloutDecision.Hold("soaking: too little traffic")
        : new RolloutDecision.Complete();
  }

  /** Returns the reason not to increase the share to the given value, or empty if there is none. */
  private Optional<String> holdReason(int share) {
    if (totalNewVersionLimit() == 0) {
      return Optional.of("no upstream of version " + rollout.version());
    }
    if (share > RolloutSchedule.MAXIMUM_UNPROVEN_SHARE_PER_MILLE) {
      Optional<String> missingEvidence = missingEvidence();
      if (missingEvidence.isPresent()) {
        return missingEvidence;
      }
    }
    return hasCapacityFor(share)
        ? Optional.empty()
        : Optional.of("upstreams of version " + rollout.version() + " cannot bear more yet");
  }

  private Optional<String> missingEvidence() {
    if (!evidenceOfAllRoutes.isAccepted() || callsAtCurrentShare() < MINIMUM_CALLS_PER_SHARE) {
      return Optional.of(
          "too little traffic: " + evidenceOfAllRoutes.newVersionCalls() + " calls so far");
    }
    double minimumCalls = evidenceOfAllRoutes.oldVersionCalls() * IMPORTANT_ROUTE_CALL_SHARE;
    return evidenceByRoute.entrySet().stream()
        .filter(entry -> entry.getValue().oldVersionCalls() > minimumCalls)
        .filter(entry -> !entry.getValue().isAccepted())
        .map(
            entry ->
                "too little traffic on route "
                    + entry.getKey()
                    + ": "
                    + entry.getValue().newVersionCalls()
                    + " calls so far")
        .findFirst();
  }

  private long callsAtCurrentShare() {
    return evidenceOfAllRoutes.newVersionCalls() - newVersionCallsAtShareStart;
  }

  private boolean hasCapacityFor(int share) {
    int outstandingCalls = allLoads().stream().mapToInt(VersionLoad::outstandingCalls).sum();
    int newVersionLimit =
        allLoads().stream()
            .filter(each -> each.version().equals(rollout.version()))
            .mapToInt(VersionLoad::limit)
            .sum();
    double expectedCalls = (double) outstandingCalls * share / Rollout.FULL_SHARE_PER_MILLE;
    return expectedCalls <= newVersionLimit * MAXIMUM_UTILIZATION;
  }

  private int totalNewVersionLimit() {
    return allLoads().stream()
        .filter(each -> each.version().equals(rollout.version()))
        .mapToInt(VersionLoad::limit)
        .sum();
  }

  private Collection<VersionLoad> allLoads() {
    return loadsByDaemon.values().stream().flatMap(List::stream).toList();
  }
}
