package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server deregisters and goes on serving for some seconds. The daemon beside it is killed after
 * its acknowledgement and started again, and a heartbeat sent before the deregistration arrives
 * late. Checked is that no request reaches the server after the drain time.
 */
final class LateHeartbeat implements Case.Script {
  private static final int DRAIN = 2_000;
  private static final int TOUCH = 3_000;
  private static final int HEARTBEAT_DELAY = 3_500;
  private static final int SERVES_AFTER_DEREGISTRATION = 12_000;
  private static final int DEADLINE = 800;

  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger lateRequests = new AtomicInteger();
  private volatile long acknowledgedAt;
  private volatile long besideInTouchFrom;
  private volatile boolean isOver;
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.write(stage);
    Stage.Daemon entry = stage.addDaemon("sidecar-0", 0, "ledger");
    Stage.Daemon beside = stage.addDaemon("sidecar-1", 1, "notifier");
    Stage.Daemon other = stage.addDaemon("sidecar-2", 2, "notifier");
    stage.startDaemons();
    Server leaving = new Server(stage, beside, "i-leaving", 18, this::answer);
    new Server(stage, other, "i-staying", 18, this::answer);
    Server.pause(5000);
    for (int client = 0; client < 8; client++) {
      Server.thread(() -> call(entry));
    }
    Server.pause(6000);
    leaving.stopHeartbeats();
    byte[] lateHeartbeat = leaving.nextHeartbeat();
    long heartbeatSentAt = stage.millis();
    stage.log("i-leaving sends its last heartbeat" + (Stage.hasTrouble() ? ", which is late" : ""));
    if (!Stage.hasTrouble()) {
      leaving.deliver(lateHeartbeat);
    }
    leaving.deregister();
    acknowledgedAt = stage.millis();
    stage.log("sidecar-1 has acknowledged that i-leaving is gone");
    if (Stage.hasTrouble()) {
      beside.signal("KILL");
      beside.process.waitFor();
      besideInTouchFrom = stage.millis() + TOUCH;
      beside.start();
      Server.pause(heartbeatSentAt + HEARTBEAT_DELAY - stage.millis());
      while (!leaving.deliver(lateHeartbeat)) {
        Server.pause(50);
      }
      stage.log(
          "the heartbeat arrives %d ms after it was sent"
              .formatted(stage.millis() - heartbeatSentAt));
    }
    Server.pause(acknowledgedAt + SERVES_AFTER_DEREGISTRATION - stage.millis());
    leaving.close();
    isOver = true;
    stage.log(
        "requests that reached i-leaving later than %d ms after the acknowledgement,"
                .formatted(DRAIN)
            + " through machines in touch: "
            + lateRequests);
    stage.exit(lateRequests.get() > 0 ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  private boolean answer(
      Server server, Http.Message head, InputStream input, OutputStream output)
      throws IOException {
    long now = stage.millis();
    boolean isLate =
        server.id.equals("i-leaving")
            && acknowledgedAt > 0
            && now > acknowledgedAt + DRAIN
            && now > besideInTouchFrom;
    lateRequests.addAndGet(isLate ? 1 : 0);
    stage.log(
        "%s runs %s%s"
            .formatted(
                server.id,
                head.header("Parsleycart-Attempt-Id").orElse("?"),
                isLate ? ", " + (now - acknowledgedAt) + " ms after the acknowledgement" : ""));
    Http.readBody(head, input, false);
    Server.pause(90);
    server.answer(head, output, 200, new byte[1500]);
    return true;
  }

  private void call(Stage.Daemon daemon) {
    Http.Connection connection = null;
    while (!isOver) {
      int request = number.incrementAndGet();
      String result;
      try {
        connection = connection == null ? new Http.Connection(daemon.outbound) : connection;
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
        Http.closeQuietly(connection);
        connection = null;
      }
      stage.log("q" + request + " " + result);
      Server.pause(100);
    }
  }
}
