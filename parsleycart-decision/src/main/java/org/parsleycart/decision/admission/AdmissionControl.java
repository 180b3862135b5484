package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;

/**
 * Admits calls to one upstream: runs as many at once as the concurrency limit allows, lets a
 * bounded number wait by priority and deadline, and refuses the rest at once.
 *
 * <p>Safe for use by several threads.
 *
 * @param <C> the type of the caller's object
 */
public final class AdmissionControl<C> {
  /**
   * How long an upstream that may have started again counts as cold without its saying so: two
   * heartbeats at the usual pace of 1.5 s, after which it has told.
   */
  private static final Duration SUSPECTED_COLD_TIME = Duration.ofSeconds(3);

  /**
   * A queue that has not been empty for this long stands: more work comes than the upstream can do.
   * A burst that the upstream catches up with is shorter; the usual objectives are above it.
   */
  private static final Duration STANDING_QUEUE_AGE = Duration.ofMillis(200);

  /**
   * After this time without a call of a route, one is let through whatever its usual latency: an
   * upstream that was slow for a while would never be seen to have recovered.
   */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

  private final AdmissionSettings settings;
  private final InstantSource clock;
  private final ConcurrencyLimit limit;
  private final PriorityQueue<AdmissionRequest<C>> queue =
      new PriorityQueue<>(AdmissionRequest.queueOrder());
  private Optional<RefusalReason> closedReason = Optional.empty();
  private final ColdStartRateLimiter coldStartLimiter;
  private final Map<String, Instant> lastStartByRoute = new HashMap<>();
  private int running;
  private Instant coldSince;
  private Instant queueLastEmptyAt;

  // -- construction

  /** Creates the admission of an upstream that has just started, with the given slots. */
  public AdmissionControl(AdmissionSettings settings, int slots, InstantSource clock) {
    this.settings = requireNonNull(settings, "settings is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.limit = settings.newLimit(slots);
    this.coldSince = clock.instant();
    this.queueLastEmptyAt = coldSince;
    this.coldStartLimiter = new ColdStartRateLimiter(OptionalDouble.empty(), coldSince);
  }

  // -- events

  /**
   * Takes a call.
   *
   * @param call the call
   * @return the call to start, or the call to refuse, or neither when it waits
   */
  public synchronized AdmissionDecision<C> offer(AdmissionRequest<C> request) {
    requireNonNull(request, "request is null");
    if (closedReason.isPresent()) {
      return AdmissionDecision.ofRefusal(request, closedReason.get());
    }
    Instant now = clock.instant();
    if (!coldStartLimiter.isStartAllowed(now)) {
      return AdmissionDecision.ofRefusal(request, RefusalReason.COLD);
    }
    queueLastEmptyAt = queue.isEmpty() ? now : queueLastEmptyAt;
    Optional<RefusalReason> lateReason =
        lateReason(request, now.plus(expectedWait(request)), queue.size());
    if (lateReason.isPresent()) {
      return AdmissionDecision.ofRefusal(request, lateReason.get());
    }
    List<AdmissionDecision.Refusal<C>> refusals = new ArrayList<>();
    queue.add(request);
    List<AdmissionRequest<C>> admitted = admitQueued(refusals);
    if (queue.size() > settings.queueLength()) {
      AdmissionRequest<C> last = queue.stream().max(AdmissionRequest.queueOrder()).orElseThrow();
      queue.remove(last);
      refusals.add(new AdmissionDecision.Refusal<>(last, RefusalReason.QUEUE_FULL));
    }
    return new AdmissionDecision<>(admitted, refusals);
  }

  /**
   * Takes note that a started call was answered whole.
   *
   * @param route the route of the call
   * @param latency from start to whole answer
   * @return the calls to start and to refuse now
   */
  public synchronized AdmissionDecision<C> recordAnswer(String route, Duration latency) {
    long returnsToColdBefore = limit.returnsToCold();
    limit.recordAnswer(route, latency, running);
    recordReturnToCold(returnsToColdBefore);
    return freeSlotAndAdmit();
  }

  /** Takes note that a started call was not answered whole. */
  public synchronized AdmissionDecision<C> recordFailure() {
    limit.recordFailure();
    coldSince = clock.instant();
    return freeSlotAndAdmit();
  }

  /**
   * Takes note that no connection to the upstream came about for a started call: it may be starting
   * again and come back cold.
   */
  public synchronized AdmissionDecision<C> recordConnectionFailure() {
    limit.recordConnectionFailure();
    coldSince = clock.instant();
    coldStartLimiter.extendColdUntil(coldSince.plus(SUSPECTED_COLD_TIME));
    return freeSlotAndAdmit();
  }

  /** Sets the calls a second that the upstream bears while it is cold, or empty for no bound. */
  public synchronized void setColdCallsPerSecond(OptionalDouble callsPerSecond) {
    coldStartLimiter.setCallsPerSecond(callsPerSecond);
  }

  /** Takes note of how long from now on the upstream says that it stays cold. */
  public synchronized void setRemainingColdTime(Duration remaining) {
    Instant now = clock.instant();
    coldStartLimiter.setColdUntil(now.plus(remaining));
    if (!remaining.isZero()) {
      coldSince = now;
    }
  }

  private void recordReturnToCold(long returnsToColdBefore) {
    if (limit.returnsToCold() > returnsToColdBefore) {
      coldSince = clock.instant();
    }
  }

  /** Takes note that the upstream answered that it has too much to do. */
  public synchronized AdmissionDecision<C> recordOverload() {
    limit.recordOverload();
    return freeSlotAndAdmit();
  }

  /** Takes note that a started call ended without telling of the upstream, as by cancellation. */
  public synchronized AdmissionDecision<C> releaseSlot() {
    return freeSlotAndAdmit();
  }

  /** Takes a call out of the queue; returns whether it was waiting. */
  public synchronized boolean cancel(C call) {
    return queue.removeIf(queued -> queued.call().equals(call));
  }

  /** Refuses the calls that have waited too long. */
  public synchronized AdmissionDecision<C> refuseExpired() {
    List<AdmissionDecision.Refusal<C>> refusals = new ArrayList<>();
    Instant now = clock.instant();
    queue.removeIf(
        request -> {
          Optional<RefusalReason> lateReason = lateReason(request, now, queue.size() - 1);
          lateReason.ifPresent(
              reason -> refusals.add(new AdmissionDecision.Refusal<>(request, reason)));
          return lateReason.isPresent();
        });
    return new AdmissionDecision<>(List.of(), refusals);
  }

  /** Refuses all new and waiting calls from now on; running calls go on. */
  public synchronized AdmissionDecision<C> close(RefusalReason reason) {
    closedReason = Optional.of(reason);
    List<AdmissionDecision.Refusal<C>> refusals =
        queue.stream().map(request -> new AdmissionDecision.Refusal<>(request, reason)).toList();
    queue.clear();
    return new AdmissionDecision<>(List.of(), refusals);
  }

  /** Takes calls again, starting cold. */
  public synchronized void reopen() {
    if (closedReason.isPresent()) {
      closedReason = Optional.empty();
      limit.reset();
      coldSince = clock.instant();
      coldStartLimiter.extendColdUntil(coldSince.plus(SUSPECTED_COLD_TIME));
    }
  }

  private AdmissionDecision<C> freeSlotAndAdmit() {
    running--;
    List<AdmissionDecision.Refusal<C>> refusals = new ArrayList<>();
    return new AdmissionDecision<>(admitQueued(refusals), refusals);
  }

  private List<AdmissionRequest<C>> admitQueued(List<AdmissionDecision.Refusal<C>> refusals) {
    List<AdmissionRequest<C>> admitted = new ArrayList<>();
    Instant now = clock.instant();
    while (running < limit.current() && !queue.isEmpty() && coldStartLimiter.isStartAllowed(now)) {
      Optional<RefusalReason> lateReason = lateReason(queue.peek(), now, queue.size() - 1);
      AdmissionRequest<C> next = queue.poll();
      if (lateReason.isPresent()) {
        refusals.add(new AdmissionDecision.Refusal<>(next, lateReason.get()));
      } else {
        running++;
        coldStartLimiter.recordStart(now);
        lastStartByRoute.put(next.route(), now);
        admitted.add(next);
      }
    }
    return admitted;
  }

  /** Returns how long the calls that go first keep all slots busy, at their usual latency. */
  private Duration expectedWait(AdmissionRequest<C> request) {
    if (running < limit.current()) {
      return Duration.ZERO;
    }
    Comparator<AdmissionRequest<C>> order = AdmissionRequest.queueOrder();
    long ahead = queue.stream().filter(queued -> order.compare(queued, request) <= 0).count();
    return limit.usualLatency(request.route()).multipliedBy(ahead).dividedBy(limit.current());
  }

  /**
   * Returns why a call that starts at a time is not worth its slot: its answer would come after the
   * deadline, or would be late while calls stand in line that can still be answered in time.
   */
  private Optional<RefusalReason> lateReason(
      AdmissionRequest<C> request, Instant start, int otherQueuedRequests) {
    Instant end = start.plus(expectedLatency(request.route()));
    if (end.isAfter(request.deadline())) {
      return Optional.of(RefusalReason.DEADLINE);
    }
    return otherQueuedRequests > 0 && isQueueStanding() && end.isAfter(request.softDeadline())
        ? Optional.of(RefusalReason.LATE)
        : Optional.empty();
  }

  private Duration expectedLatency(String route) {
    Instant lastStart = lastStartByRoute.getOrDefault(route, Instant.EPOCH);
    boolean isProbeDue = lastStart.plus(PROBE_INTERVAL).isBefore(clock.instant());
    return isProbeDue ? Duration.ZERO : limit.usualLatency(route);
  }

  private boolean isQueueStanding() {
    return clock.instant().isAfter(queueLastEmptyAt.plus(STANDING_QUEUE_AGE));
  }

  // -- queries

  /** Returns how many calls are running. */
  public synchronized int running() {
    return running;
  }

  /** Returns the load to report to entries. */
  public synchronized LoadReport load() {
    WarmUpState condition =
        coldStartLimiter.isCold(clock.instant()) ? WarmUpState.COLD : limit.warmUpState();
    return new LoadReport(running + queue.size(), limit.current(), condition);
  }

  /** Returns when the upstream started or last fell back to cold. */
  public synchronized Instant coldSince() {
    return coldSince;
  }

  /** Returns how often the upstream fell back to cold. */
  public synchronized long returnsToCold() {
    return limit.returnsToCold();
  }

  /** Returns the calls that wait, those to run first in front. */
  synchronized List<AdmissionRequest<C>> queuedRequests() {
    Comparator<AdmissionRequest<C>> order = AdmissionRequest.queueOrder();
    return queue.stream().sorted(order).toList();
  }
}
