package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server sends answers without a length, and for some seconds a few of these are reset on the way.
 * Checked is afterwards, when all servers are sound, that both services of a split route get their
 * share of its requests.
 */
final class ConnectionLeak implements Case.Script {
  private static final int RATE = 180;
  private static final int SPLIT_RATE = 40;
  private static final double BROKEN_SHARE = 0.05;
  private static final long LOAD_FROM = 6_000;
  private static final long TROUBLE_FROM = 9_000;
  private static final long TROUBLE_UNTIL = 39_000;
  private static final int TOUCH = 3_000;
  private static final long END = 57_000;
  private static final double WEIGHT_SHARE = 0.5;
  private static final double ALLOWED_DIFFERENCE = 0.2;
  private static final int MINIMUM_REQUESTS = 200;
  private static final int DEADLINE = 800;

  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger brokenOff = new AtomicInteger();
  private final AtomicInteger splitSent = new AtomicInteger();
  private final Map<String, AtomicInteger> splitRuns = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.writeWithSplitRoute(stage);
    Stage.Daemon[] entries = {
      stage.addDaemon("sidecar-0", 0, "ledger"), stage.addDaemon("sidecar-1", 1, "ledger")
    };
    Stage.Daemon beside = stage.addDaemon("sidecar-2", 2, "notifier");
    Stage.Daemon other = stage.addDaemon("sidecar-3", 3, "scheduler");
    stage.startDaemons();
    new Server(stage, beside, "i-notifier", 18, this::answer);
    new Server(stage, other, "i-scheduler", 18, this::answer);
    Server.pause(LOAD_FROM - stage.millis());
    Server.thread(() -> load(entries, "/lookup/x", RATE));
    Server.thread(() -> load(entries, "/split/x", SPLIT_RATE));
    while (stage.millis() < END) {
      Server.pause(2000);
      stage.log(
          "answers broken off: %s, results %s, open descriptors of sidecar-2: %d"
              .formatted(brokenOff, new TreeMap<>(results), beside.openDescriptors()));
      results.clear();
    }
    report();
  }

  private void report() {
    int notifier = splitRuns.getOrDefault("notifier", new AtomicInteger()).get();
    int scheduler = splitRuns.getOrDefault("scheduler", new AtomicInteger()).get();
    stage.log(
        "requests of the split route in steady state: sent %s, run by notifier %d, by scheduler %d"
            .formatted(splitSent, notifier, scheduler));
    if (splitSent.get() < MINIMUM_REQUESTS || notifier + scheduler == 0) {
      stage.exit(Stage.EXIT_NOT_RUN);
    }
    double share = (double) notifier / (notifier + scheduler);
    boolean isBroken = Math.abs(share - WEIGHT_SHARE) > ALLOWED_DIFFERENCE;
    stage.exit(isBroken ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  private boolean isSteady() {
    return stage.millis() > TROUBLE_UNTIL + TOUCH;
  }

  // -- servers

  private boolean answer(
      Server server, Http.Message head, InputStream input, OutputStream output)
      throws IOException {
    Http.readBody(head, input, false);
    if (isSteady() && head.firstLine().contains("/split/")) {
      splitRuns.computeIfAbsent(server.service, unused -> new AtomicInteger()).incrementAndGet();
    }
    Server.pause(40);
    String id = head.header("Parsleycart-Attempt-Id").orElse("");
    stage.log(server.id + " runs " + id);
    output.write(
        Http.bytes(
            "HTTP/1.1 200 Answer\r\nParsleycart-Attempt-Id: "
                + id
                + "\r\nParsleycart-Response-Stamp: "
                + server.id
                + "\r\n\r\n"));
    boolean isInTrouble =
        Stage.hasTrouble() && stage.millis() > TROUBLE_FROM && stage.millis() < TROUBLE_UNTIL;
    boolean isBroken =
        isInTrouble
            && server.service.equals("notifier")
            && ThreadLocalRandom.current().nextDouble() < BROKEN_SHARE;
    output.write(new byte[isBroken ? 750 : 1500]);
    output.flush();
    if (isBroken) {
      brokenOff.incrementAndGet();
      Server.pause(20);
      throw new Server.ResetException();
    }
    return false;
  }

  // -- clients

  private void load(Stage.Daemon[] entries, String path, int rate) {
    ExecutorService clients = Executors.newCachedThreadPool();
    long next = System.nanoTime();
    while (stage.millis() < END) {
      next += 1_000_000_000L / rate;
      while (System.nanoTime() < next) {
        Server.pause(1);
      }
      Stage.Daemon entry = entries[number.incrementAndGet() % entries.length];
      clients.execute(() -> call(entry, path));
    }
    clients.shutdown();
  }

  private void call(Stage.Daemon entry, String path) {
    if (isSteady() && path.contains("/split/")) {
      splitSent.incrementAndGet();
    }
    String id = "q" + number.incrementAndGet();
    String result;
    try (Http.Connection connection = new Http.Connection(entry.outbound)) {
      connection.send(
          Http.request(
              "GET",
              path,
              Map.of(
                  "Host", "mesh.example",
                  "Parsleycart-Attempt-Id", id,
                  "Parsleycart-Deadline-Ms", "" + DEADLINE),
              new byte[0]));
      result = path + " " + connection.receive(DEADLINE).status();
    } catch (IOException e) {
      result = path + " no whole answer";
    }
    stage.log("%s at %s: %s".formatted(id, entry.name, result));
    results.computeIfAbsent(result, unused -> new AtomicInteger()).incrementAndGet();
  }
}
