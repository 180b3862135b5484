package org.parsleycart.decision.pipeline;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.admission.AdmissionDecision;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.CandidatePool;
import org.parsleycart.decision.routing.UpstreamLoad;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.routing.UpstreamSelection;

/**
 * Daemons whose callers send reads ahead on shared connections, and two services: the first runs
 * the reads and writes, the second the views and the calls that reads make. Runs the real decisions
 * in virtual time, without a network.
 */
final class PipelineSimulation {
  private static final Duration ONE_WAY = Duration.ofMillis(1);
  private static final Duration NESTED_WORK = Duration.ofMillis(69);
  private static final double NESTED_SHARE = 0.7;
  private static final int NESTED_CALLS = 2;

  private final Fleet fleet;
  private final CallClass reads;
  private final CallClass writes;
  private final CallClass views;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
  private final List<Server> firstService;
  private final List<Server> secondService;
  private final List<Daemon> daemons;
  private Instant now = Instant.EPOCH;
  private long eventCount;

  /**
   * The size of the fleet.
   *
   * @param connections the connections of each daemon that its callers share
   * @param slots the slots of each upstream
   * @param firstSlowness how long work takes at the upstreams of the first service by turns, 1 is
   *     usual
   */
  record Fleet(
      int daemons,
      int connections,
      int slots,
      List<Double> firstSlowness,
      int firstUpstreams,
      List<Double> secondSlowness,
      int secondUpstreams) {}

  /** The calls of one kind of caller, in calls per second of all callers. */
  record CallClass(
      String route, double perSecond, Duration work, Duration objective, Duration deadline) {}

  private record Event(Instant at, long order, Runnable action) {}

  /** A call on its way to one upstream. */
  private record Call(
      CallClass type,
      Daemon daemon,
      Instant deadline,
      Consumer<Boolean> whenEnded,
      boolean calls) {}

  // -- construction

  PipelineSimulation(Fleet fleet, CallClass reads, CallClass writes, CallClass views, long seed) {
    this.fleet = fleet;
    this.reads = reads;
    this.writes = writes;
    this.views = views;
    this.random = new Random(seed);
    this.firstService = servers("first", fleet.firstUpstreams(), fleet.firstSlowness());
    this.secondService = servers("second", fleet.secondUpstreams(), fleet.secondSlowness());
    this.daemons = IntStream.range(0, fleet.daemons()).mapToObj(unused -> new Daemon()).toList();
  }

  private List<Server> servers(String service, int count, List<Double> slowness) {
    return IntStream.range(0, count)
        .mapToObj(index -> new Server(service, index, slowness.get(index % slowness.size())))
        .toList();
  }

  // -- run

  /** Returns the share of reads, writes and views that were answered within their objective. */
  double[] run(Duration length) {
    List<Figures> figures = Stream.of(reads, writes, views).map(type -> new Figures()).toList();
    Instant end = now.plus(length);
    arrive(reads, end, daemon -> daemon.sendAhead(figures.get(0)));
    arrive(writes, end, daemon -> daemon.send(writes, figures.get(1)));
    arrive(views, end, daemon -> daemon.send(views, figures.get(2)));
    while (!events.isEmpty()) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    return figures.stream().mapToDouble(Figures::inTime).toArray();
  }

  private void arrive(CallClass type, Instant end, Consumer<Daemon> arrival) {
    double seconds = -Math.log(1 - random.nextDouble()) / type.perSecond();
    Duration interval = Duration.ofNanos((long) (seconds * 1e9));
    if (now.plus(interval).isBefore(end)) {
      after(
          interval,
          () -> {
            arrival.accept(daemons.get(random.nextInt(daemons.size())));
            arrive(type, end, arrival);
          });
    }
  }

  private void after(Duration delay, Runnable action) {
    events.add(new Event(now.plus(delay), eventCount++, action));
  }

  private static final class Figures {
    private int asked;
    private int answeredInTime;

    private double inTime() {
      return (double) answeredInTime / asked;
    }
  }

  // -- daemons

  private final class Daemon {
    private final UpstreamLoadTable loads = new UpstreamLoadTable();
    private final UpstreamSelection selection = new UpstreamSelection(loads);
    private final List<Connection> connections = new ArrayList<>();

    private Daemon() {
      IntStream.range(0, fleet.connections())
          .forEach(unused -> connections.add(new Connection(this)));
    }

    private void sendAhead(Figures figures) {
      connections.get(random.nextInt(connections.size())).receive(figures);
    }

    private void send(CallClass type, Figures figures) {
      Instant sentAt = now;
      figures.asked++;
      run(
          type,
          now.plus(type.deadline()),
          isAnswered -> recordEnd(figures, type, sentAt, isAnswered));
    }

    private void recordEnd(Figures figures, CallClass type, Instant sentAt, boolean isAnswered) {
      boolean isInTime = !now.isAfter(sentAt.plus(type.objective()));
      figures.answeredInTime += isAnswered && isInTime ? 1 : 0;
    }

    /** Sends a call to one upstream of its service; a refused call is not sent elsewhere. */
    private void run(CallClass type, Instant deadline, Consumer<Boolean> whenEnded) {
      boolean isFirst = type.equals(reads) || type.equals(writes);
      List<Server> service = isFirst ? firstService : secondService;
      CandidatePool pool =
          new CandidatePool(service.stream().map(server -> server.candidate).toList(), List.of());
      Candidate chosen = selection.choose(pool, Set.of(), now, random).orElseThrow();
      UpstreamLoad load = loads.of(chosen);
      load.recordStart();
      Server server =
          service.stream().filter(each -> each.candidate.equals(chosen)).findFirst().orElseThrow();
      boolean makesCalls = type.equals(reads) && random.nextDouble() < NESTED_SHARE;
      Consumer<Boolean> ended =
          isAnswered -> {
            load.recordReport(server.admission.load(), now);
            load.recordEnd();
            after(ONE_WAY, () -> whenEnded.accept(isAnswered));
          };
      after(ONE_WAY, () -> server.receive(new Call(type, this, deadline, ended, makesCalls)));
    }
  }

  /** A connection on which reads arrive before earlier ones are answered. */
  private final class Connection {
    private final Daemon daemon;
    private final PipelineOrder<Sent> order =
        new PipelineOrder<>(PipelineOrder.MAXIMUM_IN_PROGRESS);
    private final Deque<Sent> unread = new ArrayDeque<>();

    private final class Sent {
      private final Figures figures;
      private final Instant sentAt = now;
      private boolean isEnded;
      private boolean isAnswered;

      private Sent(Figures figures) {
        this.figures = figures;
      }

      private void begin() {
        order.begin(this, true);
        daemon.run(reads, now.plus(reads.deadline()), this::end);
      }

      private void end(boolean isAnsweredNow) {
        isEnded = true;
        isAnswered = isAnsweredNow;
        sendResponses();
        beginRequests();
      }
    }

    private Connection(Daemon daemon) {
      this.daemon = daemon;
    }

    private void receive(Figures figures) {
      figures.asked++;
      unread.add(new Sent(figures));
      beginRequests();
    }

    private void beginRequests() {
      while (!unread.isEmpty() && order.mayBegin(true)) {
        unread.poll().begin();
      }
    }

    private void sendResponses() {
      while (order.first().filter(sent -> sent.isEnded).isPresent()) {
        Sent sent = order.first().orElseThrow();
        daemon.recordEnd(sent.figures, reads, sent.sentAt, sent.isAnswered);
        order.endFirst();
      }
    }
  }

  // -- upstreams

  private final class Server {
    private final Candidate candidate;
    private final double slowness;
    private final AdmissionControl<Call> admission;

    private Server(String service, int index, double slowness) {
      String identifier = service + index;
      this.candidate =
          new Candidate(
              new AnnouncedUpstream(identifier, service, "v1", fleet.slots(), false),
              "d-" + identifier,
              "zone",
              identifier + ":1");
      this.slowness = slowness;
      this.admission =
          new AdmissionControl<>(new AdmissionSettings(2, 64, true), fleet.slots(), () -> now);
    }

    private void receive(Call call) {
      apply(
          admission.offer(
              new AdmissionRequest<>(
                  call, 1, call.type().route(), call.deadline(), call.deadline())));
      apply(admission.refuseExpired());
    }

    private void apply(AdmissionDecision<Call> decision) {
      decision.admitted().forEach(request -> start(request.call()));
      decision.refusals().forEach(refusal -> refusal.request().call().whenEnded().accept(false));
    }

    private void start(Call call) {
      double spread = 0.5 + random.nextDouble();
      long nanoseconds = (long) (call.type().work().toNanos() * slowness * spread);
      Instant startedAt = now;
      after(
          Duration.ofNanos(nanoseconds),
          () -> {
            if (call.calls()) {
              callNested(call, startedAt);
            } else {
              end(call, startedAt, true);
            }
          });
    }

    /** The call occupies its slot until the calls that it makes have ended. */
    private void callNested(Call call, Instant startedAt) {
      CallClass nested =
          new CallClass("nested", 0, NESTED_WORK, call.type().objective(), call.type().deadline());
      List<Boolean> results = new ArrayList<>();
      for (int index = 0; index < NESTED_CALLS; index++) {
        call.daemon()
            .run(
                nested,
                call.deadline(),
                isAnswered -> {
                  results.add(isAnswered);
                  if (results.size() == NESTED_CALLS) {
                    end(call, startedAt, !results.contains(false));
                  }
                });
      }
    }

    private void end(Call call, Instant startedAt, boolean isAnswered) {
      apply(admission.recordAnswer(call.type().route(), Duration.between(startedAt, now)));
      call.whenEnded().accept(isAnswered);
    }
  }
}
