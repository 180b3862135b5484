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
 * Judges one rollout: gathers the calls of the old and the new version side by side, route by
 * route, and decides when to go on, to complete, or to take the new version back.
 *
 * <p>A judge that starts anew has seen nothing and only waits longer; two judges at once are
 * harmless, because every step forward is conditional on the platform and a condemnation is never
 * taken back. Used by one thread.
 */
public final class RolloutEvaluator {
  private static final Duration HALF_LIFE = Duration.ofSeconds(10);
  private static final Duration HALF_LIFE_NOW = Duration.ofMillis(100);
  private static final long FRESH_CALLS_PER_STEP = 50;
  private static final double IMPORTANT_ROUTE_SHARE = 0.05;
  private static final double HIGHEST_UTILIZATION = 0.8;
  private static final String ALL_ROUTES = "all routes";

  private final Rollout rollout;
  private final VersionSelector oldVersions;
  private final Function<String, Duration> objectives;
  private final RolloutSchedule schedule;
  private final Map<String, RouteEvidence> routes = new TreeMap<>();
  private final RouteEvidence allRoutes = RouteEvidence.ofAllRoutes();
  private final Map<Reading, CallCounts> lastReadings = new HashMap<>();
  private final Set<String> knownDaemons = new HashSet<>();
  private Map<String, List<VersionLoad>> loads = Map.of();
  private Optional<Instant> lastObservation = Optional.empty();
  private int judgedShare = -1;
  private long newCallsAtShare;

  private record Reading(String daemon, String version, String route) {}

  // -- construction

  /**
   * Creates a judge that has seen nothing.
   *
   * @param rollout the rollout
   * @param oldVersions the versions in charge
   * @param objectives gives the latency objective of a route
   */
  public RolloutEvaluator(
      Rollout rollout, VersionSelector oldVersions, Function<String, Duration> objectives) {
    this.rollout = requireNonNull(rollout, "rollout is null");
    this.oldVersions = requireNonNull(oldVersions, "oldVersions is null");
    this.objectives = requireNonNull(objectives, "objectives is null");
    this.schedule = RolloutSchedule.of(rollout);
  }

  // -- evidence

  /**
   * Takes what the daemons beside the upstreams have seen.
   *
   * @param readings the counts of each daemon since its start; a daemon that did not answer is
   *     missing and its calls count when it answers again
   * @param currentLoads the loads of the upstreams of each daemon
   * @param now the time
   */
  public void observe(
      Map<String, List<CallCounts>> readings,
      Map<String, List<VersionLoad>> currentLoads,
      Instant now) {
    requireNonNull(readings, "readings is null");
    loads = Map.copyOf(currentLoads);
    decayEvidence(now);
    List<CallCounts> fresh = new ArrayList<>();
    readings.forEach(
        (daemon, counts) -> counts.forEach(each -> fresh.add(callsSinceLastReading(daemon, each))));
    knownDaemons.addAll(readings.keySet());
    fresh.stream()
        .filter(each -> oldVersions.matches(each.version()))
        .forEach(this::addOldVersionCalls);
    fresh.stream()
        .filter(each -> each.version().equals(rollout.version()))
        .forEach(this::addNewVersionCalls);
  }

  private void decayEvidence(Instant now) {
    double elapsed =
        lastObservation.map(last -> (double) Duration.between(last, now).toNanos()).orElse(0.0);
    double kept = Math.pow(0.5, elapsed / HALF_LIFE.toNanos());
    double keptNow = Math.pow(0.5, elapsed / HALF_LIFE_NOW.toNanos());
    routes.values().forEach(route -> route.decay(kept, keptNow));
    allRoutes.decay(kept, keptNow);
    lastObservation = Optional.of(now);
  }

  /** Returns the calls since the last reading; the first reading of a daemon counts nothing. */
  private CallCounts callsSinceLastReading(String daemon, CallCounts counts) {
    Reading reading = new Reading(daemon, counts.version(), counts.route());
    CallCounts last = lastReadings.put(reading, counts);
    if (last == null) {
      return knownDaemons.contains(daemon) ? counts : counts.since(counts);
    }
    boolean restarted = last.total() > counts.total();
    return counts.since(restarted ? counts : last);
  }

  private void addOldVersionCalls(CallCounts counts) {
    int bucket = LatencyBuckets.indexOf(objectives.apply(counts.route()));
    route(counts).addOldVersionCalls(counts, bucket);
    allRoutes.addOldVersionCalls(counts, LatencyBuckets.COUNT - 1);
  }

  private void addNewVersionCalls(CallCounts counts) {
    route(counts).addNewVersionCalls(counts);
    allRoutes.addNewVersionCalls(counts);
  }

  private RouteEvidence route(CallCounts counts) {
    return routes.computeIfAbsent(counts.route(), unused -> RouteEvidence.ofOneRoute());
  }

  // -- decision

  /**
   * Decides what to do now.
   *
   * @param current the rollout as it stands in the configuration
   * @param now the time
   */
  public RolloutDecision decide(Rollout current, Instant now) {
    requireNonNull(current, "current is null");
    Optional<String> condemnation = rejectionReason();
    if (condemnation.isPresent()) {
      return new RolloutDecision.RollBack(condemnation.get());
    }
    recordShare(current.sharePerMille());
    if (current.phase() == RolloutPhase.SOAKING) {
      return decideWhileSoaking(now);
    }
    OptionalInt next = schedule.nextDueShare(current.sharePerMille(), now);
    if (next.isEmpty()) {
      return new RolloutDecision.Hold("on schedule");
    }
    Optional<String> obstacle = obstacle(next.getAsInt());
    if (obstacle.isPresent()) {
      String late = schedule.isOverdue(now) ? "past its deadline: " : "";
      return new RolloutDecision.Hold(late + obstacle.get());
    }
    return next.getAsInt() == Rollout.FULL_SHARE_PER_MILLE
        ? new RolloutDecision.Soak()
        : new RolloutDecision.IncreaseShare(next.getAsInt());
  }

  private Optional<String> rejectionReason() {
    return routes.entrySet().stream()
        .flatMap(
            entry ->
                entry.getValue().rejectionReason().stream()
                    .map(reason -> "route " + entry.getKey() + ": " + reason))
        .findFirst()
        .or(() -> allRoutes.rejectionReason().map(reason -> ALL_ROUTES + ": " + reason));
  }

  private void recordShare(int share) {
    if (share != judgedShare) {
      judgedShare = share;
      newCallsAtShare = allRoutes.newVersionCalls();
    }
  }

  private RolloutDecision decideWhileSoaking(Instant now) {
    if (!schedule.isSoakComplete(now)) {
      return new RolloutDecision.Hold("soaking");
    }
    return callsAtCurrentShare() < FRESH_CALLS_PER_STEP
        ? new RolloutDecision.Hold("soaking: too little traffic")
        : new RolloutDecision.Complete();
  }

  /** Returns what keeps the rollout from the given share. */
  private Optional<String> obstacle(int share) {
    if (newVersionSlots() == 0) {
      return Optional.of("no upstream of version " + rollout.version());
    }
    if (share > RolloutSchedule.SMALL_SHARE_PER_MILLE) {
      Optional<String> unproved = missingEvidence();
      if (unproved.isPresent()) {
        return unproved;
      }
    }
    return hasCapacityFor(share)
        ? Optional.empty()
        : Optional.of("upstreams of version " + rollout.version() + " cannot bear more yet");
  }

  private Optional<String> missingEvidence() {
    if (!allRoutes.isAccepted() || callsAtCurrentShare() < FRESH_CALLS_PER_STEP) {
      return Optional.of("too little traffic: " + allRoutes.newVersionCalls() + " calls so far");
    }
    double important = allRoutes.oldVersionCalls() * IMPORTANT_ROUTE_SHARE;
    return routes.entrySet().stream()
        .filter(entry -> entry.getValue().oldVersionCalls() > important)
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
    return allRoutes.newVersionCalls() - newCallsAtShare;
  }

  private boolean hasCapacityFor(int share) {
    int busy = load().stream().mapToInt(VersionLoad::busy).sum();
    int limit =
        load().stream()
            .filter(each -> each.version().equals(rollout.version()))
            .mapToInt(VersionLoad::limit)
            .sum();
    double expected = (double) busy * share / Rollout.FULL_SHARE_PER_MILLE;
    return expected <= limit * HIGHEST_UTILIZATION;
  }

  private int newVersionSlots() {
    return load().stream()
        .filter(each -> each.version().equals(rollout.version()))
        .mapToInt(VersionLoad::limit)
        .sum();
  }

  private Collection<VersionLoad> load() {
    return loads.values().stream().flatMap(List::stream).toList();
  }
}
