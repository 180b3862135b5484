package org.parsleycart.decision.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.admission.AdmissionDecision;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.PaceTracker;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.model.RequestKind;

/**
 * Many choosers send calls to the upstreams of one service in virtual time, without a network. Load
 * reports travel with the answers, so that their age follows from the rate of calls.
 */
final class FleetSimulation {
  private static final String ROUTE = "route";
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final double ONE_WAY_LOCAL_MILLISECONDS = 0.2;
  private static final double ONE_WAY_OTHER_ZONE_MILLISECONDS = 1.15;
  private static final double PACE_INTERVAL_MILLISECONDS = 100;
  private static final double SAMPLE_INTERVAL_MILLISECONDS = 20;
  private static final double SPREAD_OF_BURST_MILLISECONDS = 20;

  /** The part of the work of a call that does not vary; the rest is exponential. */
  private static final double CONSTANT_WORK = 0.3;

  private static final int MAXIMUM_ATTEMPTS = 3;

  private final FleetShape shape;
  private final Selector selector;
  private final Random random;

  /** Draws the arrivals, the work and the paces, which do not depend on what is chosen. */
  private final Random arrivals;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final List<Server> servers;
  private final List<Chooser> choosers;
  private final FleetFigures figures = new FleetFigures();
  private final double workMilliseconds;
  private long now;
  private long eventCount;

  /** Selects an upstream for a call of one chooser. */
  interface Selector {
    Optional<Candidate> choose(
        UpstreamLoadTable loads,
        CandidatePool pool,
        Set<String> tried,
        Instant now,
        Instant deadline,
        RandomGenerator random);
  }

  private record Event(long at, long order, Runnable action) {}

  private static final class Call {
    private final Chooser chooser;
    private final double workMilliseconds;
    private final Instant deadline;
    private final Set<String> tried = new HashSet<>();
    private long queuedAt;

    private Call(Chooser chooser, double workMilliseconds, Instant deadline) {
      this.chooser = chooser;
      this.workMilliseconds = workMilliseconds;
      this.deadline = deadline;
    }
  }

  // -- construction

  FleetSimulation(FleetShape shape, Selector selector, long seed) {
    this.shape = shape;
    this.selector = selector;
    this.random = new Random(seed);
    this.arrivals = new Random(seed + 1);
    this.servers = IntStream.range(0, shape.upstreams()).mapToObj(Server::new).toList();
    this.choosers = IntStream.range(0, shape.choosers()).mapToObj(Chooser::new).toList();
    double speed = servers.stream().mapToDouble(server -> 1 / server.slowness).average().orElse(1);
    this.workMilliseconds = shape.meanCallMilliseconds() * speed;
  }

  // -- run

  /** Runs the fleet and returns the figures of the time after the warm-up. */
  FleetFigures run() {
    servers.forEach(server -> after(0, server::changePace));
    choosers.forEach(chooser -> after(arrivals.nextDouble() * 500, chooser::burst));
    after(shape.warmUpMilliseconds(), this::sample);
    long end = nanoseconds(shape.warmUpMilliseconds() + shape.measuredMilliseconds());
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    return figures;
  }

  private void after(double milliseconds, Runnable action) {
    events.add(new Event(now + nanoseconds(milliseconds), eventCount++, action));
  }

  private static long nanoseconds(double milliseconds) {
    return (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
  }

  private Instant instant() {
    return Instant.EPOCH.plusNanos(now);
  }

  private boolean isMeasured() {
    return now >= nanoseconds(shape.warmUpMilliseconds());
  }

  private void sample() {
    figures.sampleQueues(servers.stream().mapToInt(Server::queued).toArray());
    after(SAMPLE_INTERVAL_MILLISECONDS, this::sample);
  }

  private boolean isSlotIdleElsewhere(Server server) {
    return servers.stream().anyMatch(other -> other != server && other.hasIdleSlot());
  }

  // -- upstreams and the daemons beside them

  private final class Server {
    private final Candidate candidate;
    private final double slowness;
    private final AdmissionControl<Call> admission;
    private final PaceTracker tracker = new PaceTracker();
    private double pace;

    private Server(int index) {
      this.candidate =
          new Candidate(
              new AnnouncedUpstream("u" + index, "service", "v1", shape.slots(), false),
              "d" + index,
              "z" + index % shape.zones(),
              "d" + index + ":1");
      this.slowness = shape.slowness(index);
      this.pace = slowness;
      this.admission =
          new AdmissionControl<>(
              new AdmissionSettings(2, 64, true), shape.slots(), FleetSimulation.this::instant);
    }

    /** The pace varies by up to a fifth each way around the usual pace of the VM. */
    private void changePace() {
      pace = slowness * (0.8 + 0.4 * arrivals.nextDouble());
      after(PACE_INTERVAL_MILLISECONDS * (0.5 + arrivals.nextDouble()), this::changePace);
    }

    private boolean hasIdleSlot() {
      return admission.running() < shape.slots();
    }

    private int queued() {
      return admission.load().outstandingCalls() - admission.running();
    }

    private void receive(Call call) {
      call.queuedAt = now;
      boolean willWait = !hasIdleSlot();
      if (isMeasured()) {
        figures.recordArrival(willWait && isSlotIdleElsewhere(this));
      }
      apply(
          admission.offer(
              new AdmissionRequest<>(call, RequestKind.INTERACTIVE_READ, ROUTE, call.deadline)));
    }

    private void apply(AdmissionDecision<Call> decision) {
      decision.admitted().forEach(request -> start(request.call()));
      LoadReport report = load();
      decision
          .refusals()
          .forEach(
              refusal -> {
                Call call = refusal.request().call();
                after(oneWay(call), () -> call.chooser.refused(call, this, report));
              });
    }

    private void start(Call call) {
      if (isMeasured()) {
        figures.recordWait((now - call.queuedAt) / (double) NANOSECONDS_PER_MILLISECOND);
      }
      long startedAt = now;
      after(call.workMilliseconds * pace, () -> end(call, Duration.ofNanos(now - startedAt)));
    }

    /** The report leaves with the head of the answer, just before the slot becomes free. */
    private void end(Call call, Duration latency) {
      tracker.recordStatement(OptionalInt.of((int) (100 * pace / slowness)));
      tracker.recordAnswer(latency);
      LoadReport report = load();
      apply(admission.recordAnswer(ROUTE, latency));
      after(oneWay(call), () -> call.chooser.answered(call, this, report));
    }

    private LoadReport load() {
      return admission.load().withPace(tracker.current());
    }

    private double oneWay(Call call) {
      return candidate.zone().equals(call.chooser.zone)
          ? ONE_WAY_LOCAL_MILLISECONDS
          : ONE_WAY_OTHER_ZONE_MILLISECONDS;
    }
  }

  // -- choosers

  private final class Chooser {
    private final UpstreamLoadTable loads = new UpstreamLoadTable();
    private final String zone;
    private final CandidatePool pool;

    private Chooser(int index) {
      this.zone = "z" + index % shape.zones();
      List<Candidate> local = new ArrayList<>();
      List<Candidate> other = new ArrayList<>();
      servers.stream()
          .map(server -> server.candidate)
          .forEach(candidate -> (candidate.zone().equals(zone) ? local : other).add(candidate));
      this.pool = new CandidatePool(local, other);
    }

    /** Sends a burst of calls close together and plans the next burst. */
    private void burst() {
      int calls = 1;
      while (arrivals.nextDouble() < 1 - 1 / shape.callsPerBurst()) {
        calls++;
      }
      for (int call = 0; call < calls; call++) {
        after(arrivals.nextDouble() * SPREAD_OF_BURST_MILLISECONDS, this::call);
      }
      double callsPerMillisecond =
          shape.load() * shape.slots() * shape.upstreams() / shape.meanCallMilliseconds();
      double interval = shape.callsPerBurst() * shape.choosers() / callsPerMillisecond;
      after(-Math.log(1 - arrivals.nextDouble()) * interval, this::burst);
    }

    private void call() {
      figures.recordCall(isMeasured());
      double exponential = -Math.log(1 - arrivals.nextDouble());
      double work = workMilliseconds * (CONSTANT_WORK + (1 - CONSTANT_WORK) * exponential);
      send(new Call(this, work, instant().plus(shape.deadline())));
    }

    private void send(Call call) {
      Optional<Candidate> chosen =
          call.tried.size() < MAXIMUM_ATTEMPTS
              ? selector.choose(loads, pool, call.tried, instant(), call.deadline, random)
              : Optional.empty();
      if (chosen.isEmpty()) {
        figures.recordRefusal(isMeasured());
        return;
      }
      call.tried.add(chosen.get().identifier());
      loads.of(chosen.get()).recordStart();
      Server server = servers.get(Integer.parseInt(chosen.get().identifier().substring(1)));
      figures.recordZone(isMeasured(), chosen.get().zone().equals(zone));
      after(server.oneWay(call), () -> server.receive(call));
    }

    private void answered(Call call, Server server, LoadReport report) {
      UpstreamLoad load = loads.of(server.candidate);
      load.recordReport(report, instant());
      load.recordEnd();
      load.recordAnswer(false, instant());
      figures.recordAnswer(isMeasured(), !instant().isAfter(call.deadline));
    }

    private void refused(Call call, Server server, LoadReport report) {
      UpstreamLoad load = loads.of(server.candidate);
      load.recordReport(report, instant());
      load.recordEnd();
      send(call);
    }
  }
}
