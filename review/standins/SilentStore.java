package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections to the store go silent, while new ones work. Then the operator moves a route
 * to another service. Checked is that no request is run by the old service later than the bound
 * after the acknowledgement, once the machines are in touch again.
 */
final class SilentStore implements Case.Script {
  private static final int CONFIGURATION = 2_000;
  private static final int TOUCH = 3_000;
  private static final int MOVED_AFTER = 200;
  private static final int DEADLINE = 1000;

  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger outdated = new AtomicInteger();
  private volatile long acknowledgedAt;
  private volatile long inTouchFrom;
  private volatile boolean isOver;
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.write(stage);
    SilencingProxy proxy = new SilencingProxy(stage.store.address());
    stage.setStoreAddress(proxy.address());
    Stage.Daemon[] daemons = {
      stage.addDaemon("sidecar-0", 0, "scheduler"),
      stage.addDaemon("sidecar-1", 1, "scheduler"),
      stage.addDaemon("sidecar-2", 2, "notifier"),
      stage.addDaemon("sidecar-3", 3, "notifier")
    };
    stage.startDaemons();
    for (Stage.Daemon daemon : daemons) {
      new Server(stage, daemon, "i-" + daemon.name, 18, this::answer);
    }
    Server.pause(5000);
    for (Stage.Daemon daemon : daemons) {
      for (int client = 0; client < 4; client++) {
        Server.thread(() -> call(daemon));
      }
    }
    Server.pause(8000);
    if (Stage.hasTrouble()) {
      stage.log("connections to the store that go silent: " + proxy.silence());
      inTouchFrom = stage.millis() + TOUCH;
      Server.pause(MOVED_AFTER);
    }
    Configurations.writeWithMovedBooking(stage);
    acknowledgedAt = stage.millis();
    stage.log("the store has acknowledged a version that moves bookings to notifier");
    Server.pause(12_000);
    isOver = true;
    stage.log(
        "requests that were sent later than %d ms after the acknowledgement, at machines in touch,"
                .formatted(CONFIGURATION)
            + " and run by the old service: "
            + outdated);
    stage.exit(outdated.get() > 0 ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  private boolean answer(
      Server server, Http.Message head, InputStream input, OutputStream output)
      throws IOException {
    Http.readBody(head, input, false);
    Server.pause(60);
    server.answer(head, output, 200, server.service.getBytes());
    return true;
  }

  private void call(Stage.Daemon daemon) {
    Http.Connection connection = null;
    while (!isOver) {
      int request = number.incrementAndGet();
      long sentAt = stage.millis();
      String result;
      try {
        connection = connection == null ? new Http.Connection(daemon.outbound) : connection;
        sentAt = stage.millis();
        connection.send(
            Http.request(
                "POST",
                "/booking/x",
                Map.of(
                    "Host", "mesh.example",
                    "Parsleycart-Attempt-Id", "q" + request,
                    "Parsleycart-Deadline-Ms", "" + DEADLINE),
                new byte[4000]));
        Http.Message answer = connection.receive(DEADLINE);
        result = "status " + answer.status() + " from " + new String(answer.body());
        boolean isOutdated =
            acknowledgedAt > 0
                && sentAt > acknowledgedAt + CONFIGURATION
                && sentAt > inTouchFrom
                && answer.status() == 200
                && new String(answer.body()).equals("scheduler");
        if (isOutdated) {
          outdated.incrementAndGet();
          result += ", sent " + (sentAt - acknowledgedAt) + " ms after the acknowledgement";
        }
      } catch (IOException e) {
        result = "no answer: " + e.getMessage();
        Http.closeQuietly(connection);
        connection = null;
      }
      stage.log(daemon.name + " q" + request + " " + result);
      Server.pause(60);
    }
  }
}
