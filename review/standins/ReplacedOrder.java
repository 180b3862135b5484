package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator orders a version and, while that rollout is under way, orders the next version
 * instead. The first version turns bad. Checked is which requests the bad version gets.
 */
final class ReplacedOrder implements Case.Script {
  private static final int RATE = 300;
  private static final int WORK = 60;
  private static final double BAD_SHARE = 0.5;
  private static final int ORDER_SECONDS = 16;
  private static final int TURNS_BAD_AFTER = 3_000;
  private static final int NEXT_ORDER_AFTER = 2_500;
  private static final int DRAINS_AFTER_ROLLBACK = 3_000;
  private static final double CANARY_SHARE = 0.1;
  private static final int CANARY_SLACK = 50;
  private static final int ROLLBACK = 5_000;
  private static final int BAD_ANSWERS_BEFORE_ROLLBACK = 50;
  private static final int DEADLINE = 800;

  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger arrivals = new AtomicInteger();
  private final AtomicInteger badVersionArrivals = new AtomicInteger();
  private final AtomicInteger badAnswers = new AtomicInteger();
  private final AtomicInteger lateArrivals = new AtomicInteger();
  private volatile long orderedAt;
  private volatile long fiftiethBadAnswerAt;
  private volatile boolean isOver;
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.write(stage);
    Stage.Daemon[] old = {
      stage.addDaemon("sidecar-0", 0, "notifier"), stage.addDaemon("sidecar-1", 1, "notifier")
    };
    Stage.Daemon[] bad = {
      stage.addDaemon("sidecar-2", 0, "notifier"), stage.addDaemon("sidecar-3", 1, "notifier")
    };
    Stage.Daemon[] next = {
      stage.addDaemon("sidecar-4", 0, "notifier"), stage.addDaemon("sidecar-5", 1, "notifier")
    };
    stage.startDaemons();
    startServers(old, "v1");
    Server.pause(5000);
    Server.thread(() -> load(old));
    Server.pause(4000);
    order("v2");
    orderedAt = stage.millis();
    List<Server> badServers = startServers(bad, "v2");
    if (Stage.hasTrouble()) {
      Server.pause(NEXT_ORDER_AFTER);
      order("v3");
      startServers(next, "v3");
    }
    boolean hasDrained = false;
    while (stage.millis() < orderedAt + 1000L * ORDER_SECONDS) {
      Server.pause(20);
      if (!hasDrained && isRolledBack("v2")) {
        stage.log(
            "v2 is rolled back; until now %s requests reached it, %s bad answers"
                .formatted(badVersionArrivals, badAnswers));
        Server.pause(DRAINS_AFTER_ROLLBACK);
        badServers.forEach(Server::drain);
        stage.log("the servers of v2 have reported that they drain");
        hasDrained = true;
      }
    }
    isOver = true;
    stage.log("status: " + stage.store.value("status", "rollout/notifier").orElse("none"));
    report();
  }

  private void report() {
    double allowed = CANARY_SHARE * arrivals.get() + CANARY_SLACK;
    stage.log(
        "between the order of v2 and its deadline: requests that reached the service %s, v2 %s,"
                .formatted(arrivals, badVersionArrivals)
            + " allowed %.0f; bad answers of v2 %s; requests later than %d ms after the 50th %s"
                .formatted(allowed, badAnswers, ROLLBACK, lateArrivals));
    boolean isBroken = badVersionArrivals.get() > allowed || lateArrivals.get() > 0;
    stage.exit(isBroken ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  // -- operator

  private void order(String version) {
    stage.store.put(
        "op",
        "rollout/notifier",
        "{\"service\":\"notifier\",\"to\":\"%s\",\"durationS\":%d}"
            .formatted(version, ORDER_SECONDS));
    stage.log("the operator orders " + version);
  }

  private boolean isRolledBack(String version) {
    String status = stage.store.value("status", "rollout/notifier").orElse("");
    return status.contains("rolled_back") && status.contains(version);
  }

  // -- servers

  private List<Server> startServers(Stage.Daemon[] daemons, String version) throws IOException {
    List<Server> servers = new ArrayList<>();
    for (Stage.Daemon daemon : daemons) {
      servers.add(
          new Server(
              stage, daemon, "i-" + version + "-" + daemon.name, version, 18, this::answer));
    }
    stage.log("servers of " + version + " start");
    return servers;
  }

  private boolean answer(
      Server server, Http.Message head, InputStream input, OutputStream output)
      throws IOException {
    Http.readBody(head, input, false);
    boolean isBadVersion = server.version.equals("v2");
    if (orderedAt > 0 && stage.millis() < orderedAt + 1000L * ORDER_SECONDS) {
      arrivals.incrementAndGet();
      badVersionArrivals.addAndGet(isBadVersion ? 1 : 0);
    }
    if (isBadVersion) {
      boolean isLate =
          fiftiethBadAnswerAt > 0 && stage.millis() > fiftiethBadAnswerAt + ROLLBACK + DEADLINE;
      lateArrivals.addAndGet(isLate ? 1 : 0);
      stage.log("v2 runs " + head.header("Parsleycart-Attempt-Id").orElse("?"));
    }
    Server.pause(WORK);
    boolean isBad =
        isBadVersion
            && stage.millis() > orderedAt + TURNS_BAD_AFTER
            && ThreadLocalRandom.current().nextDouble() < BAD_SHARE;
    if (isBad && badAnswers.incrementAndGet() == BAD_ANSWERS_BEFORE_ROLLBACK) {
      fiftiethBadAnswerAt = stage.millis();
      stage.log("v2 gives its 50th bad answer");
    }
    server.answer(head, output, isBad ? 500 : 200, new byte[1500]);
    return true;
  }

  // -- clients

  private void load(Stage.Daemon[] entries) {
    ExecutorService clients = Executors.newCachedThreadPool();
    long next = System.nanoTime();
    while (!isOver) {
      next += 1_000_000_000L / RATE;
      while (System.nanoTime() < next) {
        Server.pause(1);
      }
      Stage.Daemon entry = entries[number.get() % entries.length];
      clients.execute(() -> call(entry));
    }
    clients.shutdown();
  }

  private void call(Stage.Daemon entry) {
    int request = number.incrementAndGet();
    String result;
    try (Http.Connection connection = new Http.Connection(entry.outbound)) {
      connection.send(
          Http.request(
              "GET",
              "/lookup/x",
              Map.of(
                  "Host", "mesh.example",
                  "Parsleycart-Attempt-Id", "q" + request,
                  "Parsleycart-Deadline-Ms", "" + DEADLINE),
              new byte[0]));
      result = "status " + connection.receive(DEADLINE).status();
    } catch (IOException e) {
      result = "no answer: " + e.getMessage();
    }
    stage.log("q" + request + " " + result);
  }
}
