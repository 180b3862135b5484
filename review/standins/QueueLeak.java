package review;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients leave before their deadline while their requests wait beside a busy server. Checked is
 * that other requests, which clients send through the daemon beside that server to other servers,
 * have their final answer half a second after the timeout of their route.
 */
final class QueueLeak implements Case.Script {
  private static final long LOAD_FROM = 6_000;
  private static final long LOAD_UNTIL = 86_000;
  private static final long QUIET = 5_000;
  private static final int RATE = 340;
  private static final int WORK = 90;
  private static final int BOOKING_WORK = 120;
  private static final double LEAVING_SHARE = 0.3;
  private static final int HALF_OBJECTIVE = 150;
  private static final int DEADLINE = 800;
  private static final int BOOKING_DEADLINE = 1000;
  private static final int ROUTE_TIMEOUT = 400;
  private static final int ANSWER_MARGIN = 500;
  private static final int MINIMUM_UNANSWERED = 8;
  private static final int CLIENTS_BESIDE = 12;

  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger overTimeout = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile long lastAnswer;
  private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.write(stage);
    Stage.Daemon[] entries = {
      stage.addDaemon("sidecar-0", 0, "scheduler"),
      stage.addDaemon("sidecar-1", 1, "scheduler"),
      stage.addDaemon("sidecar-2", 2, "scheduler")
    };
    Stage.Daemon beside = stage.addDaemon("sidecar-3", 3, "notifier");
    beside.limitDescriptors(4100);
    stage.startDaemons();
    new Server(
        stage,
        beside,
        "i-3",
        18,
        (server, head, input, output) -> {
          Http.readBody(head, input, false);
          stage.log("i-3 runs " + head.header("Parsleycart-Attempt-Id").orElse("?"));
          Server.pause(WORK);
          server.answer(head, output, 200, new byte[1500]);
          return true;
        });
    for (int index = 0; index < entries.length; index++) {
      new Server(
          stage,
          entries[index],
          "i-" + index,
          18,
          (server, head, input, output) -> {
            Http.readBody(head, input, false);
            stage.log(server.id + " runs " + head.header("Parsleycart-Attempt-Id").orElse("?"));
            Server.pause(BOOKING_WORK);
            server.answer(head, output, 200, new byte[1500]);
            return true;
          });
    }
    Server.pause(LOAD_FROM - stage.millis());
    for (int client = 0; client < CLIENTS_BESIDE; client++) {
      Server.thread(() -> book(beside));
    }
    load(entries, beside);
    Server.pause(QUIET);
    report("end", beside);
    stage.log(
        "sidecar-3: process runs: %s, last answer to a booking %d ms ago"
            .formatted(beside.process.isAlive(), stage.millis() - lastAnswer));
    stage.log(
        "bookings that lasted longer than their route's timeout of %d ms: %s, of these without an"
                .formatted(ROUTE_TIMEOUT, overTimeout)
            + " answer %d ms after it: %s".formatted(ANSWER_MARGIN, unanswered));
    boolean isBroken =
        unanswered.get() >= MINIMUM_UNANSWERED && unanswered.get() * 4 > overTimeout.get();
    stage.exit(isBroken ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  private void load(Stage.Daemon[] entries, Stage.Daemon beside) {
    ExecutorService clients = Executors.newCachedThreadPool();
    long next = System.nanoTime();
    long nextReport = 0;
    while (stage.millis() < LOAD_UNTIL) {
      next += 1_000_000_000L / RATE;
      while (System.nanoTime() < next) {
        Server.pause(1);
      }
      Stage.Daemon entry = entries[number.get() % entries.length];
      clients.execute(() -> call(entry));
      if (stage.millis() > nextReport) {
        nextReport = stage.millis() + 2000;
        report("load", beside);
      }
    }
    clients.shutdown();
  }

  private void report(String phase, Stage.Daemon beside) {
    stage.log(
        "%s: sent %s, results %s, open descriptors of sidecar-3: %d"
            .formatted(phase, number, new TreeMap<>(results), beside.openDescriptors()));
  }

  private void call(Stage.Daemon entry) {
    int request = number.incrementAndGet();
    ThreadLocalRandom random = ThreadLocalRandom.current();
    boolean leaves = Stage.hasTrouble() && random.nextDouble() < LEAVING_SHARE;
    int wait = leaves ? random.nextInt(10, HALF_OBJECTIVE) : DEADLINE;
    String result;
    try (Http.Connection connection = new Http.Connection(entry.outbound)) {
      connection.send(request("GET", "/lookup/x", request, DEADLINE, new byte[0]));
      result = "status " + connection.receive(wait).status();
    } catch (IOException e) {
      result = leaves ? "left" : "no answer: " + e.getMessage();
    }
    stage.log("lookup q%d at %s: %s".formatted(request, entry.name, result));
    results.computeIfAbsent(result, unused -> new AtomicInteger()).incrementAndGet();
  }

  // -- clients at the daemon beside the server

  /** Sends bookings to other servers through the daemon, on a kept connection. */
  private void book(Stage.Daemon daemon) {
    Http.Connection connection = null;
    while (true) {
      int request = number.incrementAndGet();
      long start = stage.millis();
      String result;
      try {
        connection = connection == null ? new Http.Connection(daemon.outbound) : connection;
        start = stage.millis();
        connection.send(request("POST", "/booking/x", request, BOOKING_DEADLINE, new byte[4000]));
        result = "status " + connection.receive(BOOKING_DEADLINE).status();
        lastAnswer = stage.millis();
      } catch (IOException e) {
        result = "no answer: " + e.getMessage();
        Http.closeQuietly(connection);
        connection = null;
      }
      long duration = stage.millis() - start;
      if (duration > ROUTE_TIMEOUT) {
        overTimeout.incrementAndGet();
        boolean isUnanswered = duration > ROUTE_TIMEOUT + ANSWER_MARGIN;
        unanswered.addAndGet(isUnanswered ? 1 : 0);
      }
      stage.log("booking q%d at sidecar-3: %s after %d ms".formatted(request, result, duration));
      Server.pause(400);
    }
  }

  private static byte[] request(
      String method, String path, int request, int deadline, byte[] body) {
    return Http.request(
        method,
        path,
        Map.of(
            "Host", "mesh.example",
            "Parsleycart-Attempt-Id", "q" + request,
            "Parsleycart-Deadline-Ms", "" + deadline),
        body);
  }
}
