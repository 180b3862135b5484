package org.parsleycart.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.Stream;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.admission.AdmissionDecision;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.CandidatePool;
import org.parsleycart.model.Contract;
import org.parsleycart.model.RequestKind;
import org.parsleycart.standin.UpstreamModel;

/**
 * Simulates the calls of one service during the disruption of a zone, with the daemon's routing and
 * admission control or with a baseline. Upstreams and the clock are simulated.
 */
final class ZoneTrial {
  static final int ZONES = 4;
  private static final String SERVICE = "ledger";
  private static final int SLOTS = 20;
  private static final Duration SERVICE_TIME = Duration.ofMillis(20);
  private static final Duration WARM_UP = Duration.ofSeconds(15);
  private static final Duration HOP_DELAY = Duration.ofMillis(1);
  private static final Duration DEADLINE = Duration.ofSeconds(1);
  private static final int COLD_CONCURRENCY_LIMIT = 2;
  private static final int QUEUE_LENGTH = 64;
  private static final Duration TRIAL_DURATION = Duration.ofSeconds(90);
  private static final Duration DISRUPTION_STARTS_AT = Duration.ofSeconds(30);
  private static final Duration DISRUPTION_ENDS_AT = Duration.ofSeconds(50);
  private static final Duration MAXIMUM_PROPAGATION_DELAY = Duration.ofMillis(700);
  private static final int MAXIMUM_ATTEMPTS = 3;

  private final ZonePolicy policy;
  private final ZoneDisruption disruption;
  private final double callsPerSecond;
  private final TrialClock clock = new TrialClock();
  private Instant start;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private final List<TrialUpstream> upstreams = new ArrayList<>();
  private final List<TrialRouter> routers = new ArrayList<>();
  private final CallStatistics statistics = new CallStatistics();
  private final Contract contract =
      new Contract("read", RequestKind.INTERACTIVE_READ, DEADLINE, DEADLINE, MAXIMUM_ATTEMPTS);
  private long nextEvent;
  private long callsStartedInWithdrawnZone;

  private record Event(Instant at, long number, Runnable action) {}

  // -- construction

  ZoneTrial(ZonePolicy policy, ZoneDisruption disruption, double callsPerSecond, long seed) {
    this.policy = policy;
    this.disruption = disruption;
    this.callsPerSecond = callsPerSecond;
    this.random = new Random(seed);
    for (int zone = 0; zone < ZONES; zone++) {
      upstreams.add(createUpstream(zone));
      TrialRouter router = new TrialRouter();
      router.zone = "zone-" + zone;
      routers.add(router);
    }
  }

  private TrialUpstream createUpstream(int zone) {
    TrialUpstream upstream = new TrialUpstream();
    upstream.model = new UpstreamModel(SLOTS, SERVICE_TIME, WARM_UP, clock);
    AnnouncedUpstream announced =
        new AnnouncedUpstream("upstream-" + zone, SERVICE, "v1", SLOTS, false);
    String address = "10.0.0." + zone + ":7402";
    upstream.candidate = new Candidate(announced, address, "zone-" + zone, address);
    upstream.admission =
        new AdmissionControl<>(
            new AdmissionSettings(COLD_CONCURRENCY_LIMIT, QUEUE_LENGTH), SLOTS, clock);
    return upstream;
  }

  // -- run

  /** Runs the trial, which begins when all upstreams are warm. */
  void run() {
    clock.advance(WARM_UP);
    start = clock.instant();
    scheduleArrival();
    scheduleSinceStart(DISRUPTION_STARTS_AT, this::startDisruption);
    scheduleSinceStart(DISRUPTION_ENDS_AT, this::endDisruption);
    for (long tick = 0; tick < TRIAL_DURATION.toMillis(); tick += 50) {
      scheduleSinceStart(Duration.ofMillis(tick), this::refuseExpiredCalls);
    }
    Instant end = start.plus(TRIAL_DURATION);
    while (!events.isEmpty() && events.peek().at().isBefore(end)) {
      Event event = events.poll();
      clock.advanceTo(event.at());
      event.action().run();
    }
  }

  private void scheduleSinceStart(Duration sinceStart, Runnable action) {
    scheduleAt(start.plus(sinceStart), action);
  }

  private void scheduleAfter(Duration delay, Runnable action) {
    scheduleAt(clock.instant().plus(delay), action);
  }

  private void scheduleAt(Instant instant, Runnable action) {
    events.add(new Event(instant, nextEvent++, action));
  }

  private void scheduleArrival() {
    double gapSeconds = -Math.log(1 - random.nextDouble()) / callsPerSecond;
    scheduleAfter(
        Duration.ofNanos((long) (gapSeconds * 1e9)),
        () -> {
          TrialRouter router = routers.get(random.nextInt(routers.size()));
          router.retryPolicy.recordCall(SERVICE);
          statistics.recordCall(Duration.between(start, clock.instant()));
          attempt(new TrialCall(router, clock.instant()));
          scheduleArrival();
        });
  }

  // -- moves

  private void startDisruption() {
    TrialUpstream disrupted = upstreams.get(0);
    switch (disruption) {
      case WITHDRAWAL -> {
        routers.forEach(
            router ->
                scheduleAfter(
                    Duration.ofMillis(random.nextInt((int) MAXIMUM_PROPAGATION_DELAY.toMillis())),
                    () -> router.withdrawnZones.add("zone-0")));
        scheduleAfter(
            Duration.ofMillis(random.nextInt((int) MAXIMUM_PROPAGATION_DELAY.toMillis())),
            () -> {
              disrupted.withdrawn = true;
              applyDecisionInDisruptedZone(disrupted.admission.close(RefusalReason.ZONE_WITHDRAWN));
            });
      }
      case POWER_LOSS -> disrupted.down = true;
      case SILENT_RESTART -> disrupted.model.restartWarmUp();
      case ONE_FAILS -> disrupted.failing = true;
      default -> throw new IllegalStateException("unsupported disruption: " + disruption);
    }
  }

  private void endDisruption() {
    TrialUpstream disrupted = upstreams.get(0);
    disrupted.down = false;
    disrupted.failing = false;
    if (disruption != ZoneDisruption.SILENT_RESTART) {
      disrupted.model.restartWarmUp();
    }
    if (disruption == ZoneDisruption.POWER_LOSS) {
      disrupted.admission =
          new AdmissionControl<>(
              new AdmissionSettings(COLD_CONCURRENCY_LIMIT, QUEUE_LENGTH), SLOTS, clock);
    }
    disrupted.withdrawn = false;
    disrupted.admission.reopen();
    routers.forEach(router -> router.withdrawnZones.clear());
    routers.forEach(
        router -> router.loadTable.retainOnly(upstreamsExcept(disrupted), clock.instant()));
  }

  private Stream<Candidate> upstreamsExcept(TrialUpstream disrupted) {
    return upstreams.stream()
        .filter(upstream -> upstream != disrupted)
        .map(upstream -> upstream.candidate);
  }

  // -- calls

  private void attempt(TrialCall call) {
    statistics.recordAttempt();
    call.attempts++;
    Optional<TrialUpstream> upstream = choose(call);
    if (upstream.isEmpty()) {
      return;
    }
    call.triedUpstreams.add(upstream.get().candidate.identifier());
    call.router.loadTable.of(upstream.get().candidate).recordStart();
    scheduleAfter(HOP_DELAY, () -> arrive(upstream.get(), call));
  }

  private Optional<TrialUpstream> choose(TrialCall call) {
    List<TrialUpstream> usableUpstreams =
        upstreams.stream()
            .filter(upstream -> !call.router.withdrawnZones.contains(upstream.candidate.zone()))
            .toList();
    if (policy != ZonePolicy.PRODUCT) {
      return Optional.of(
          usableUpstreams.get(call.router.roundRobinIndex++ % usableUpstreams.size()));
    }
    List<Candidate> localCandidates =
        usableUpstreams.stream()
            .map(upstream -> upstream.candidate)
            .filter(candidate -> candidate.zone().equals(call.router.zone))
            .toList();
    List<Candidate> remoteCandidates =
        usableUpstreams.stream()
            .map(upstream -> upstream.candidate)
            .filter(candidate -> !candidate.zone().equals(call.router.zone))
            .toList();
    return call.router
        .selection
        .choose(
            new CandidatePool(localCandidates, remoteCandidates),
            call.triedUpstreams,
            clock.instant(),
            random)
        .flatMap(
            chosen -> upstreams.stream().filter(each -> each.candidate.equals(chosen)).findFirst());
  }

  private void arrive(TrialUpstream upstream, TrialCall call) {
    if (upstream.down) {
      failAttempt(upstream, call, AttemptOutcome.NOT_RUN, true);
      return;
    }
    if (upstream.withdrawn) {
      refuseCall(upstream, call, RefusalReason.ZONE_WITHDRAWN);
      return;
    }
    switch (policy) {
      case PRODUCT -> {
        AdmissionRequest<TrialCall> request =
            new AdmissionRequest<>(
                call, RequestKind.INTERACTIVE_READ, "read", call.arrivedAt.plus(DEADLINE));
        applyDecision(upstream, upstream.admission.offer(request));
      }
      case FIXED_LIMIT -> {
        upstream.waitingCalls.add(call);
        startQueued(upstream);
      }
      case NO_ADMISSION -> start(upstream, call);
      default -> throw new IllegalStateException("unsupported policy: " + policy);
    }
  }

  private void startQueued(TrialUpstream upstream) {
    while (!upstream.waitingCalls.isEmpty() && upstream.model.running() < SLOTS) {
      start(upstream, upstream.waitingCalls.poll());
    }
  }

  private void applyDecision(TrialUpstream upstream, AdmissionDecision<TrialCall> decision) {
    decision.admitted().forEach(request -> start(upstream, request.call()));
    decision
        .refusals()
        .forEach(refused -> refuseCall(upstream, refused.request().call(), refused.reason()));
  }

  private void applyDecisionInDisruptedZone(AdmissionDecision<TrialCall> decision) {
    applyDecision(upstreams.get(0), decision);
  }

  private void refuseExpiredCalls() {
    if (policy == ZonePolicy.PRODUCT) {
      upstreams.forEach(upstream -> applyDecision(upstream, upstream.admission.refuseExpired()));
    }
  }

  private void start(TrialUpstream upstream, TrialCall call) {
    if (upstream.withdrawn) {
      callsStartedInWithdrawnZone++;
    }
    AdmissionControl<TrialCall> admission = upstream.admission;
    UpstreamModel.Treatment treatment = upstream.model.start();
    Instant startedAt = clock.instant();
    scheduleAfter(
        treatment.latency(),
        () -> {
          upstream.model.end();
          boolean failed = treatment.failed() || upstream.failing;
          finish(upstream, admission, call, startedAt, failed);
        });
  }

  private void finish(
      TrialUpstream upstream,
      AdmissionControl<TrialCall> admission,
      TrialCall call,
      Instant startedAt,
      boolean failed) {
    if (policy == ZonePolicy.PRODUCT) {
      Duration latency = Duration.between(startedAt, clock.instant());
      applyDecision(
          upstream,
          upstream.down ? admission.recordFailure() : admission.recordAnswer("read", latency));
    } else if (policy == ZonePolicy.FIXED_LIMIT) {
      startQueued(upstream);
    }
    if (upstream.down) {
      failAttempt(upstream, call, AttemptOutcome.UNKNOWN, true);
    } else if (failed) {
      scheduleAfter(HOP_DELAY, () -> recordFailedAnswer(upstream, call));
    } else {
      scheduleAfter(HOP_DELAY, () -> recordAnswer(upstream, call));
    }
  }

  private void recordFailedAnswer(TrialUpstream upstream, TrialCall call) {
    call.router.loadTable.of(upstream.candidate).recordEnd();
    call.router.loadTable.of(upstream.candidate).recordAnswer(true, clock.instant());
  }

  private void recordAnswer(TrialUpstream upstream, TrialCall call) {
    call.router.loadTable.of(upstream.candidate).recordEnd();
    call.router.loadTable.of(upstream.candidate).recordAnswer(false, clock.instant());
    call.router
        .loadTable
        .of(upstream.candidate)
        .recordReport(upstream.admission.load(), clock.instant());
    if (!clock.instant().isAfter(call.arrivedAt.plus(DEADLINE))) {
      statistics.recordAnswer(Duration.between(start, call.arrivedAt));
    }
  }

  private void failAttempt(
      TrialUpstream upstream, TrialCall call, AttemptOutcome outcome, boolean daemonFailed) {
    scheduleAfter(
        HOP_DELAY,
        () -> {
          call.router.loadTable.of(upstream.candidate).recordEnd();
          if (daemonFailed) {
            call.router.loadTable.of(upstream.candidate).recordFailure(clock.instant());
          }
          retryIfAllowed(call, outcome);
        });
  }

  private void refuseCall(TrialUpstream upstream, TrialCall call, RefusalReason reason) {
    scheduleAfter(
        HOP_DELAY,
        () -> {
          call.router.loadTable.of(upstream.candidate).recordEnd();
          call.router.loadTable.of(upstream.candidate).recordRefusal(reason, clock.instant());
          boolean isAllowed =
              policy == ZonePolicy.PRODUCT
                  ? call.router.retryPolicy.acquireRedirect(
                      SERVICE, call.attempts, reason, remaining(call))
                  : call.attempts < MAXIMUM_ATTEMPTS;
          if (isAllowed) {
            attempt(call);
          }
        });
  }

  private Duration remaining(TrialCall call) {
    return Duration.between(clock.instant(), call.arrivedAt.plus(DEADLINE));
  }

  private void retryIfAllowed(TrialCall call, AttemptOutcome outcome) {
    Duration remaining = remaining(call);
    boolean isAllowed =
        policy == ZonePolicy.PRODUCT
            ? call.router.retryPolicy.acquireRetry(
                SERVICE, contract, call.attempts, outcome, remaining)
            : call.attempts < MAXIMUM_ATTEMPTS && !remaining.isNegative();
    if (isAllowed) {
      attempt(call);
    }
  }

  // -- results

  CallStatistics statistics() {
    return statistics;
  }

  long coldOverloads() {
    return upstreams.stream().mapToLong(upstream -> upstream.model.coldOverloads()).sum();
  }

  long callsStartedInWithdrawnZone() {
    return callsStartedInWithdrawnZone;
  }
}
