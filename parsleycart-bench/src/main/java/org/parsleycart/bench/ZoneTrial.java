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
 * Sends calls of one service through a zone's leaving and returning, with the product's decisions
 * or with a baseline, against modelled upstreams and a clock of the trial.
 */
final class ZoneTrial {
  static final int ZONES = 4;
  private static final String SERVICE = "ledger";
  private static final int SLOTS = 20;
  private static final Duration SERVICE_TIME = Duration.ofMillis(20);
  private static final Duration WARM_UP = Duration.ofSeconds(15);
  private static final Duration HOP = Duration.ofMillis(1);
  private static final Duration DEADLINE = Duration.ofSeconds(1);
  private static final int COLD_LIMIT = 2;
  private static final int QUEUE_LENGTH = 64;
  private static final Duration RUN = Duration.ofSeconds(90);
  private static final Duration LEAVES_AT = Duration.ofSeconds(30);
  private static final Duration RETURNS_AT = Duration.ofSeconds(50);
  private static final Duration SPREADING = Duration.ofMillis(700);
  private static final int MOST_ATTEMPTS = 3;

  private final ZonePolicy policy;
  private final ZoneMove move;
  private final double callsPerSecond;
  private final TrialClock clock = new TrialClock();
  private Instant start;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private final List<TrialServer> servers = new ArrayList<>();
  private final List<TrialEntry> entries = new ArrayList<>();
  private final ServiceRecord record = new ServiceRecord();
  private final Contract contract =
      new Contract("read", RequestKind.INTERACTIVE_READ, DEADLINE, DEADLINE, MOST_ATTEMPTS);
  private long nextEvent;
  private long workInWithdrawnZone;

  private record Event(Instant at, long number, Runnable action) {}

  // -- construction

  ZoneTrial(ZonePolicy policy, ZoneMove move, double callsPerSecond, long seed) {
    this.policy = policy;
    this.move = move;
    this.callsPerSecond = callsPerSecond;
    this.random = new Random(seed);
    for (int zone = 0; zone < ZONES; zone++) {
      servers.add(server(zone));
      TrialEntry entry = new TrialEntry();
      entry.zone = "zone-" + zone;
      entries.add(entry);
    }
  }

  private TrialServer server(int zone) {
    TrialServer server = new TrialServer();
    server.model = new UpstreamModel(SLOTS, SERVICE_TIME, WARM_UP, clock);
    AnnouncedUpstream announced =
        new AnnouncedUpstream("upstream-" + zone, SERVICE, "v1", SLOTS, false);
    String address = "10.0.0." + zone + ":7402";
    server.candidate = new Candidate(announced, address, "zone-" + zone, address);
    server.admission =
        new AdmissionControl<>(new AdmissionSettings(COLD_LIMIT, QUEUE_LENGTH), SLOTS, clock);
    return server;
  }

  // -- run

  /** Runs the trial from the moment at which all upstreams are warm. */
  void run() {
    clock.advance(WARM_UP);
    start = clock.instant();
    scheduleArrival();
    schedule(LEAVES_AT, this::startMove);
    schedule(RETURNS_AT, this::endMove);
    for (long tick = 0; tick < RUN.toMillis(); tick += 50) {
      schedule(Duration.ofMillis(tick), this::expire);
    }
    Instant end = start.plus(RUN);
    while (!events.isEmpty() && events.peek().at().isBefore(end)) {
      Event event = events.poll();
      clock.advanceTo(event.at());
      event.action().run();
    }
  }

  private void schedule(Duration sinceStart, Runnable action) {
    at(start.plus(sinceStart), action);
  }

  private void after(Duration delay, Runnable action) {
    at(clock.instant().plus(delay), action);
  }

  private void at(Instant instant, Runnable action) {
    events.add(new Event(instant, nextEvent++, action));
  }

  private void scheduleArrival() {
    double gap = -Math.log(1 - random.nextDouble()) / callsPerSecond;
    after(
        Duration.ofNanos((long) (gap * 1e9)),
        () -> {
          TrialEntry entry = entries.get(random.nextInt(entries.size()));
          entry.retries.recordCall(SERVICE);
          record.called(Duration.between(start, clock.instant()));
          attempt(new TrialCall(entry, clock.instant()));
          scheduleArrival();
        });
  }

  // -- moves

  private void startMove() {
    TrialServer moved = servers.get(0);
    switch (move) {
      case WITHDRAWAL -> {
        entries.forEach(
            entry ->
                after(
                    Duration.ofMillis(random.nextInt((int) SPREADING.toMillis())),
                    () -> entry.withdrawnZones.add("zone-0")));
        after(
            Duration.ofMillis(random.nextInt((int) SPREADING.toMillis())),
            () -> {
              moved.withdrawn = true;
              refuse(moved.admission.close(RefusalReason.ZONE_WITHDRAWN));
            });
      }
      case POWER_LOSS -> moved.down = true;
      case SILENT_RESTART -> moved.model.restartWarmUp();
      case ONE_FAILS -> moved.failing = true;
      default -> throw new IllegalStateException("no such move: " + move);
    }
  }

  private void endMove() {
    TrialServer moved = servers.get(0);
    moved.down = false;
    moved.failing = false;
    if (move != ZoneMove.SILENT_RESTART) {
      moved.model.restartWarmUp();
    }
    if (move == ZoneMove.POWER_LOSS) {
      moved.admission =
          new AdmissionControl<>(new AdmissionSettings(COLD_LIMIT, QUEUE_LENGTH), SLOTS, clock);
    }
    moved.withdrawn = false;
    moved.admission.reopen();
    entries.forEach(entry -> entry.withdrawnZones.clear());
    entries.forEach(entry -> entry.loads.retainOnly(others(moved)));
  }

  private Stream<Candidate> others(TrialServer moved) {
    return servers.stream().filter(server -> server != moved).map(server -> server.candidate);
  }

  // -- calls

  private void attempt(TrialCall call) {
    record.attempted();
    call.attempts++;
    Optional<TrialServer> server = choose(call);
    if (server.isEmpty()) {
      return;
    }
    call.tried.add(server.get().candidate.identifier());
    call.entry.loads.of(server.get().candidate).recordStart();
    after(HOP, () -> arrive(server.get(), call));
  }

  private Optional<TrialServer> choose(TrialCall call) {
    List<TrialServer> usable =
        servers.stream()
            .filter(server -> !call.entry.withdrawnZones.contains(server.candidate.zone()))
            .toList();
    if (policy != ZonePolicy.PRODUCT) {
      return Optional.of(usable.get(call.entry.turn++ % usable.size()));
    }
    List<Candidate> near =
        usable.stream()
            .map(server -> server.candidate)
            .filter(candidate -> candidate.zone().equals(call.entry.zone))
            .toList();
    List<Candidate> far =
        usable.stream()
            .map(server -> server.candidate)
            .filter(candidate -> !candidate.zone().equals(call.entry.zone))
            .toList();
    return call.entry
        .selection
        .choose(new CandidatePool(near, far), call.tried, clock.instant(), random)
        .flatMap(
            chosen -> servers.stream().filter(each -> each.candidate.equals(chosen)).findFirst());
  }

  private void arrive(TrialServer server, TrialCall call) {
    if (server.down) {
      back(server, call, AttemptOutcome.NOT_RUN, true);
      return;
    }
    if (server.withdrawn) {
      refuseCall(server, call, RefusalReason.ZONE_WITHDRAWN);
      return;
    }
    switch (policy) {
      case PRODUCT -> {
        AdmissionRequest<TrialCall> waiting =
            new AdmissionRequest<>(
                call, RequestKind.INTERACTIVE_READ, "read", call.arrivedAt.plus(DEADLINE));
        carryOut(server, server.admission.offer(waiting));
      }
      case FIXED_LIMIT -> {
        server.queue.add(call);
        startQueued(server);
      }
      case NO_ADMISSION -> start(server, call);
      default -> throw new IllegalStateException("no such policy: " + policy);
    }
  }

  private void startQueued(TrialServer server) {
    while (!server.queue.isEmpty() && server.model.running() < SLOTS) {
      start(server, server.queue.poll());
    }
  }

  private void carryOut(TrialServer server, AdmissionDecision<TrialCall> admission) {
    admission.admitted().forEach(waiting -> start(server, waiting.call()));
    admission
        .refusals()
        .forEach(refused -> refuseCall(server, refused.request().call(), refused.reason()));
  }

  private void refuse(AdmissionDecision<TrialCall> admission) {
    carryOut(servers.get(0), admission);
  }

  private void expire() {
    if (policy == ZonePolicy.PRODUCT) {
      servers.forEach(server -> carryOut(server, server.admission.refuseExpired()));
    }
  }

  private void start(TrialServer server, TrialCall call) {
    if (server.withdrawn) {
      workInWithdrawnZone++;
    }
    AdmissionControl<TrialCall> admission = server.admission;
    UpstreamModel.Treatment treatment = server.model.start();
    Instant startedAt = clock.instant();
    after(
        treatment.latency(),
        () -> {
          server.model.end();
          boolean failed = treatment.failed() || server.failing;
          finish(server, admission, call, startedAt, failed);
        });
  }

  private void finish(
      TrialServer server,
      AdmissionControl<TrialCall> admission,
      TrialCall call,
      Instant startedAt,
      boolean failed) {
    if (policy == ZonePolicy.PRODUCT) {
      Duration latency = Duration.between(startedAt, clock.instant());
      carryOut(
          server,
          server.down ? admission.recordFailure() : admission.recordAnswer("read", latency));
    } else if (policy == ZonePolicy.FIXED_LIMIT) {
      startQueued(server);
    }
    if (server.down) {
      back(server, call, AttemptOutcome.UNKNOWN, true);
    } else if (failed) {
      after(HOP, () -> failAnswer(server, call));
    } else {
      after(HOP, () -> answer(server, call));
    }
  }

  private void failAnswer(TrialServer server, TrialCall call) {
    call.entry.loads.of(server.candidate).recordEnd();
    call.entry.loads.of(server.candidate).recordAnswer(true, clock.instant());
  }

  private void answer(TrialServer server, TrialCall call) {
    call.entry.loads.of(server.candidate).recordEnd();
    call.entry.loads.of(server.candidate).recordAnswer(false, clock.instant());
    call.entry.loads.of(server.candidate).recordReport(server.admission.load());
    if (!clock.instant().isAfter(call.arrivedAt.plus(DEADLINE))) {
      record.answered(Duration.between(start, call.arrivedAt));
    }
  }

  private void back(
      TrialServer server, TrialCall call, AttemptOutcome outcome, boolean daemonFailed) {
    after(
        HOP,
        () -> {
          call.entry.loads.of(server.candidate).recordEnd();
          if (daemonFailed) {
            call.entry.loads.of(server.candidate).recordFailure(clock.instant());
          }
          retry(call, outcome);
        });
  }

  private void refuseCall(TrialServer server, TrialCall call, RefusalReason reason) {
    after(
        HOP,
        () -> {
          call.entry.loads.of(server.candidate).recordEnd();
          call.entry.loads.of(server.candidate).recordRefusal(reason, clock.instant());
          boolean again =
              policy == ZonePolicy.PRODUCT
                  ? call.entry.retries.acquireRedirect(
                      SERVICE, call.attempts, reason, remaining(call))
                  : call.attempts < MOST_ATTEMPTS;
          if (again) {
            attempt(call);
          }
        });
  }

  private Duration remaining(TrialCall call) {
    return Duration.between(clock.instant(), call.arrivedAt.plus(DEADLINE));
  }

  private void retry(TrialCall call, AttemptOutcome outcome) {
    Duration remaining = remaining(call);
    boolean again =
        policy == ZonePolicy.PRODUCT
            ? call.entry.retries.acquireRetry(SERVICE, contract, call.attempts, outcome, remaining)
            : call.attempts < MOST_ATTEMPTS && !remaining.isNegative();
    if (again) {
      attempt(call);
    }
  }

  // -- results

  ServiceRecord record() {
    return record;
  }

  long coldOverloads() {
    return servers.stream().mapToLong(server -> server.model.coldOverloads()).sum();
  }

  long workInWithdrawnZone() {
    return workInWithdrawnZone;
  }
}
