package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Controls the admission of calls to one upstream. It runs as many calls at once as the concurrency
 * limit allows, queues a bounded number by priority, by organisation in turn and by deadline, and
 * refuses the rest immediately.
 *
 * <p>Thread-safe.
 *
 * @param <C> the type of the objects that represent calls
 */
public final class AdmissionControl<C> {
  /**
   * How long an upstream that may have restarted counts as cold unless it reports otherwise: two
   * heartbeats at the usual interval of 1.5 s, by which time it has reported its state.
   */
  private static final Duration SUSPECTED_COLD_TIME = Duration.ofSeconds(3);

  /**
   * A queue that has not been empty for this long is a standing queue: calls arrive faster than the
   * upstream handles them. Bursts that the upstream catches up with are shorter. The usual latency
   * objectives are longer.
   */
  private static final Duration STANDING_QUEUE_AGE = Duration.ofMillis(200);

  /** The calls that run at once until an answer can have stated a rate. */
  private static final int MAXIMUM_RUNNING_BEFORE_STATED_RATE = 2;

  private final AdmissionSettings settings;
  private final InstantSource clock;
  private final ConcurrencyLimit limit;
  private final FairQueue<C> queue = new FairQueue<>();
  private Optional<RefusalReason> closedReason = Optional.empty();
  private final ColdStartRateLimiter coldStartLimiter;
  private final StatedRateLimiter statedRateLimiter;
  private final LinkRateLimiter linkLimiter;
  private final MeanLatency meanLatency = new MeanLatency();
  private final ExpectedLatency expectedLatency;
  private int running;
  private Instant coldSince;
  private Instant queueLastEmptyAt;
  private boolean isStatedRateKnown;

  // -- construction

  /**
   * Creates the admission control of an upstream that has just started.
   *
   * @param slots the calls that the upstream announces it can run at once, at least 1
   */
  public AdmissionControl(AdmissionSettings settings, int slots, InstantSource clock) {
    this(settings, slots, clock, true);
  }

  private AdmissionControl(
      AdmissionSettings settings, int slots, InstantSource clock, boolean isStatedRateKnown) {
    this.settings = requireNonNull(settings, "settings is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.limit = settings.newLimit(slots);
    this.expectedLatency = new ExpectedLatency(limit);
    this.coldSince = clock.instant();
    this.queueLastEmptyAt = coldSince;
    this.coldStartLimiter = new ColdStartRateLimiter(OptionalDouble.empty(), coldSince);
    this.statedRateLimiter = new StatedRateLimiter(coldSince);
    this.linkLimiter = new LinkRateLimiter(settings.linkBytesPerSecond(), coldSince);
    this.isStatedRateKnown = isStatedRateKnown;
  }

  /**
   * Creates the admission control of an upstream that ran before this daemon started. The upstream
   * may have stated a rate to the daemon's previous process, so that few calls run until one has
   * ended.
   *
   * @param slots the calls that the upstream announces it can run at once, at least 1
   */
  public static <C> AdmissionControl<C> besideRunningUpstream(
      AdmissionSettings settings, int slots, InstantSource clock) {
    return new AdmissionControl<>(settings, slots, clock, false);
  }

  // -- events

  /**
   * Offers a request for admission.
   *
   * @return the requests to start and to refuse now; the offered request is in neither list if it
   *     is queued
   */
  public synchronized AdmissionDecision<C> offer(AdmissionRequest<C> request) {
    requireNonNull(request, "request is null");
    Optional<RefusalReason> refusalReason = refusalReason(request);
    if (refusalReason.isPresent()) {
      return AdmissionDecision.ofRefusal(request, refusalReason.get());
    }
    queueLastEmptyAt = queue.isEmpty() ? clock.instant() : queueLastEmptyAt;
    List<AdmissionDecision.Refusal<C>> refusals = new ArrayList<>();
    queue.add(request);
    List<AdmissionRequest<C>> admitted = admitQueued(refusals);
    if (queue.size() > settings.queueLength()) {
      refusals.add(new AdmissionDecision.Refusal<>(queue.removeLast(), RefusalReason.QUEUE_FULL));
    }
    return new AdmissionDecision<>(admitted, refusals);
  }

  /**
   * Records the complete answer to a started call and frees its slot.
   *
   * @param latency from the start of the call to its complete answer
   * @return the queued requests to start and to refuse now
   */
  public synchronized AdmissionDecision<C> recordAnswer(String route, Duration latency) {
    long returnsToColdBefore = limit.returnsToCold();
    limit.recordAnswer(route, latency, running);
    meanLatency.record(latency);
    recordReturnToCold(returnsToColdBefore);
    return freeSlotAndAdmit();
  }

  /**
   * Records that a started call ended without a complete answer, and frees its slot.
   *
   * @return the queued requests to start and to refuse now
   */
  public synchronized AdmissionDecision<C> recordFailure() {
    limit.recordFailure();
    coldSince = clock.instant();
    return freeSlotAndAdmit();
  }

  /**
   * Records that no connection to the upstream could be opened for a started call, and frees its
   * slot. The upstream may be restarting, so it counts as cold for a while.
   *
   * @return the queued requests to start and to refuse now
   */
  public synchronized AdmissionDecision<C> recordConnectionFailure() {
    limit.recordConnectionFailure();
    coldSince = clock.instant();
    coldStartLimiter.extendColdUntil(coldSince.plus(SUSPECTED_COLD_TIME));
    return freeSlotAndAdmit();
  }

  /**
   * Sets the calls per second that the upstream sustains while it is cold, or empty for no limit.
   */
  public synchronized void setColdCallsPerSecond(OptionalDouble callsPerSecond) {
    coldStartLimiter.setCallsPerSecond(callsPerSecond);
  }

  /**
   * Sets how long the upstream stays cold from now on, as it reports itself. Zero means that it is
   * not cold.
   */
  public synchronized void setRemainingColdTime(Duration remaining) {
    Instant now = clock.instant();
    coldStartLimiter.setColdUntil(now.plus(remaining));
    if (!remaining.isZero()) {
      coldSince = now;
    }
  }

  /**
   * Records the rate that an answer states, before its call is recorded as ended.
   *
   * @param callsPerSecond the calls per second that the upstream takes from all daemons together,
   *     or empty if it states none
   * @return whether the rate differs from the one before
   */
  public synchronized boolean recordStatedRate(OptionalDouble callsPerSecond) {
    OptionalDouble before = statedRateLimiter.callsPerSecond();
    statedRateLimiter.recordStatedRate(callsPerSecond, clock.instant());
    return !statedRateLimiter.callsPerSecond().equals(before);
  }

  /** Records the size in bytes of the response to a call on a route. */
  public synchronized void recordResponseSize(String route, long bytes) {
    linkLimiter.recordResponse(route, bytes);
  }

  private void recordReturnToCold(long returnsToColdBefore) {
    if (limit.returnsToCold() > returnsToColdBefore) {
      coldSince = clock.instant();
    }
  }

  /**
   * Records that the upstream answered a started call by reporting overload, and frees its slot.
   *
   * @return the queued requests to start and to refuse now
   */
  public synchronized AdmissionDecision<C> recordOverload() {
    limit.recordOverload();
    return freeSlotAndAdmit();
  }

  /**
   * Frees the slot of a started call whose end does not indicate the state of the upstream, such as
   * a cancellation.
   *
   * @return the queued requests to start and to refuse now
   */
  public synchronized AdmissionDecision<C> releaseSlot() {
    return freeSlotAndAdmit();
  }

  /** Removes a call from the queue. Returns whether it was queued. */
  public synchronized boolean cancel(C call) {
    return queue.removeIf(queued -> queued.call().equals(call));
  }

  /**
   * Removes the queued requests that can no longer be answered in time, and returns them as
   * refusals.
   */
  public synchronized AdmissionDecision<C> refuseExpired() {
    List<AdmissionDecision.Refusal<C>> refusals = new ArrayList<>();
    Instant now = clock.instant();
    int otherRequests = queue.size() - 1;
    queue.removeIf(
        request -> {
          Optional<RefusalReason> lateReason = lateReason(request, now, otherRequests);
          lateReason.ifPresent(
              reason -> refusals.add(new AdmissionDecision.Refusal<>(request, reason)));
          return lateReason.isPresent();
        });
    return new AdmissionDecision<>(List.of(), refusals);
  }

  /**
   * Refuses all new and queued requests from now on. Running calls continue.
   *
   * @param reason the reason of all these refusals
   * @return the refusals of the queued requests
   */
  public synchronized AdmissionDecision<C> close(RefusalReason reason) {
    closedReason = Optional.of(reason);
    List<AdmissionDecision.Refusal<C>> refusals =
        queue.stream().map(request -> new AdmissionDecision.Refusal<>(request, reason)).toList();
    queue.clear();
    return new AdmissionDecision<>(List.of(), refusals);
  }

  /**
   * Accepts requests again after {@link #close} and treats the upstream as cold. Does nothing if
   * admission is not closed.
   */
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
    isStatedRateKnown = true;
    List<AdmissionDecision.Refusal<C>> refusals = new ArrayList<>();
    return new AdmissionDecision<>(admitQueued(refusals), refusals);
  }

  private List<AdmissionRequest<C>> admitQueued(List<AdmissionDecision.Refusal<C>> refusals) {
    List<AdmissionRequest<C>> admitted = new ArrayList<>();
    Instant now = clock.instant();
    while (running < maximumRunning() && !queue.isEmpty() && coldStartLimiter.isStartAllowed(now)) {
      // A call that is alone waits for no end of another that would admit it.
      Optional<AdmissionRequest<C>> polled =
          queue.poll(request -> running == 0 || linkLimiter.isStartAllowed(request.route(), now));
      if (polled.isEmpty()) {
        break;
      }
      AdmissionRequest<C> next = polled.get();
      Optional<RefusalReason> refusalReason =
          statedRateLimiter.isStartAllowed(now)
              ? lateReason(next, now, queue.size())
              : Optional.of(RefusalReason.RATE_LIMITED);
      if (refusalReason.isPresent()) {
        refusals.add(new AdmissionDecision.Refusal<>(next, refusalReason.get()));
      } else {
        running++;
        queue.recordStart(next);
        coldStartLimiter.recordStart(now);
        statedRateLimiter.recordStart(now);
        linkLimiter.recordStart(next.route(), now);
        expectedLatency.recordStart(next.route(), now);
        admitted.add(next);
      }
    }
    return admitted;
  }

  private int maximumRunning() {
    return isStatedRateKnown
        ? limit.current()
        : Math.min(limit.current(), MAXIMUM_RUNNING_BEFORE_STATED_RATE);
  }

  /** Returns the reason to refuse a request without queueing it, empty if there is none. */
  private Optional<RefusalReason> refusalReason(AdmissionRequest<?> request) {
    Instant now = clock.instant();
    if (closedReason.isPresent()) {
      return closedReason;
    }
    if (!coldStartLimiter.isStartAllowed(now)) {
      return Optional.of(RefusalReason.COLD);
    }
    return statedRateLimiter.isStartAllowed(now)
        ? lateReason(request, now.plus(expectedWait(request)), queue.size())
        : Optional.of(RefusalReason.RATE_LIMITED);
  }

  /**
   * Returns how long the queued requests that run before this one keep all slots busy, at the usual
   * latency of the route of this one. The long queue of one organisation does not delay the first
   * requests of another, so it does not count against them.
   */
  private Duration expectedWait(AdmissionRequest<?> request) {
    Duration linkWait =
        linkLimiter.expectedWait(
            request.route(), queue.stream().map(AdmissionRequest::route), clock.instant());
    if (running < maximumRunning()) {
      return linkWait;
    }
    Duration slotWait =
        limit
            .usualLatency(request.route())
            .multipliedBy(queue.countAhead(request))
            .dividedBy(limit.current());
    return slotWait.compareTo(linkWait) > 0 ? slotWait : linkWait;
  }

  /**
   * Returns the reason to refuse a request that would start at the given time, or empty if it
   * should run. A request is refused if its answer would come after the deadline. It is also
   * refused if its answer would come after the soft deadline while a standing queue holds other
   * requests that can still be answered in time.
   */
  private Optional<RefusalReason> lateReason(
      AdmissionRequest<?> request, Instant start, int otherQueuedRequests) {
    Instant end = start.plus(expectedLatency.of(request.route(), clock.instant()));
    if (end.isAfter(request.deadline())) {
      return Optional.of(RefusalReason.DEADLINE);
    }
    return otherQueuedRequests > 0 && isQueueStanding() && end.isAfter(request.softDeadline())
        ? Optional.of(RefusalReason.LATE)
        : Optional.empty();
  }

  private boolean isQueueStanding() {
    return clock.instant().isAfter(queueLastEmptyAt.plus(STANDING_QUEUE_AGE));
  }

  // -- queries

  /**
   * Returns the reason for which {@link #offer} would refuse a request now, which is not offered.
   */
  public synchronized Optional<RefusalReason> expectedRefusal(AdmissionRequest<?> request) {
    requireNonNull(request, "request is null");
    boolean isDropped =
        running >= maximumRunning()
            && queue.size() >= settings.queueLength()
            && queue.wouldDrop(request);
    return refusalReason(request)
        .or(() -> isDropped ? Optional.of(RefusalReason.QUEUE_FULL) : Optional.empty());
  }

  /** Returns the number of started calls that have not ended. */
  public synchronized int running() {
    return running;
  }

  /** Returns the load to report to entry daemons. */
  public synchronized LoadReport load() {
    WarmUpState warmUpState =
        coldStartLimiter.isCold(clock.instant()) ? WarmUpState.COLD : limit.warmUpState();
    return new LoadReport(running + queue.size(), sustainedCalls(), warmUpState);
  }

  /** Returns the calls per second that the upstream states to take, or empty for no limit. */
  public synchronized OptionalDouble statedRate() {
    return statedRateLimiter.callsPerSecond();
  }

  /** Returns the calls that run at once while calls start at the stated rate, within the limit. */
  private int sustainedCalls() {
    return statedRateLimiter.callsPerSecond().stream()
        .mapToInt(rate -> (int) Math.ceil(rate * meanLatency.seconds()))
        .map(calls -> Math.max(1, Math.min(calls, maximumRunning())))
        .findFirst()
        .orElse(maximumRunning());
  }

  /** Returns when the upstream started or last became cold. */
  public synchronized Instant coldSince() {
    return coldSince;
  }

  /** Returns how often the upstream has become cold again since it started. */
  public synchronized long returnsToCold() {
    return limit.returnsToCold();
  }

  /** Returns the queued requests in the order in which they are to run. */
  synchronized List<AdmissionRequest<C>> queuedRequests() {
    return queue.inOrder();
  }
}
