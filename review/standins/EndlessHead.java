package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One answer of one server is a head without end. Checked is that the requests of the clients on
 * the machine of that server, which go to other servers, have their final answer half a second
 * after the timeout of their route.
 */
final class EndlessHead implements Case.Script {
  private static final long TROUBLE_FROM = 16_000;
  private static final long END = 40_000;
  private static final int CLIENTS_PER_MACHINE = 20;
  private static final int ROUTE_TIMEOUT = 400;
  private static final int ANSWER_MARGIN = 500;
  private static final int MINIMUM_UNANSWERED = 8;
  private static final int LOOKUP_DEADLINE = 800;
  private static final int BOOKING_DEADLINE = 1000;

  private final AtomicInteger number = new AtomicInteger();
  private final AtomicBoolean hasSpoiltAnswer = new AtomicBoolean();
  private final AtomicInteger overTimeout = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger lateLookups = new AtomicInteger();
  private final AtomicInteger lateLookupsAtTroubled = new AtomicInteger();
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.write(stage);
    Stage.Daemon[] daemons = {
      stage.addDaemon("sidecar-0", 0, "notifier"),
      stage.addDaemon("sidecar-1", 1, "notifier"),
      stage.addDaemon("sidecar-2", 2, "scheduler"),
      stage.addDaemon("sidecar-3", 3, "scheduler")
    };
    stage.startDaemons();
    new Server(stage, daemons[0], "i-0", 18, this::answerOnceWithoutEnd);
    new Server(stage, daemons[1], "i-1", 18, (a, b, c, d) -> answer(a, b, c, d, 90));
    new Server(stage, daemons[2], "i-2", 18, (a, b, c, d) -> answer(a, b, c, d, 120));
    new Server(stage, daemons[3], "i-3", 18, (a, b, c, d) -> answer(a, b, c, d, 120));
    Server.pause(5000);
    for (Stage.Daemon daemon : daemons) {
      for (int client = 0; client < CLIENTS_PER_MACHINE; client++) {
        Server.thread(() -> callAll(daemon, "POST", "/booking/x", BOOKING_DEADLINE));
      }
      for (int client = 0; client < 2; client++) {
        Server.thread(() -> callAll(daemon, "GET", "/lookup/x", LOOKUP_DEADLINE));
      }
    }
    while (stage.millis() < END) {
      Server.pause(1000);
      stage.log(
          "daemon sidecar-0: runs %s, ready %s, threads %s"
              .formatted(
                  daemons[0].process.isAlive(), daemons[0].isReady(), daemons[0].threads()));
    }
    stage.log(
        "bookings that lasted longer than their route's timeout of %d ms: %s, of these without an"
                .formatted(ROUTE_TIMEOUT, overTimeout)
            + " answer %d ms after it: %s".formatted(ANSWER_MARGIN, unanswered));
    stage.log(
        "lookups in the last 10 s that server i-0 answered: " + lateLookupsAtTroubled
            + ", that any server answered: " + lateLookups);
    if (Stage.hasTrouble() && !hasSpoiltAnswer.get()) {
      stage.exit(Stage.EXIT_NOT_RUN);
    }
    boolean isBroken =
        unanswered.get() >= MINIMUM_UNANSWERED && unanswered.get() * 4 > overTimeout.get();
    stage.exit(isBroken ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  // -- servers

  private boolean answerOnceWithoutEnd(
      Server server, Http.Message head, InputStream input, OutputStream output)
      throws IOException {
    boolean isInTrouble = Stage.hasTrouble() && stage.millis() > TROUBLE_FROM;
    if (!isInTrouble || !hasSpoiltAnswer.compareAndSet(false, true)) {
      return answer(server, head, input, output, 90);
    }
    Http.readBody(head, input, false);
    stage.log("server i-0 begins a head without end");
    long sent = 0;
    try {
      output.write(Http.bytes("HTTP/1.1 200 OK\r\n"));
      while (true) {
        StringBuilder lines = new StringBuilder();
        for (int line = 0; line < 4000; line++) {
          lines.append("X-").append(sent + line).append(": a\r\n");
        }
        output.write(Http.bytes(lines.toString()));
        sent += lines.length();
      }
    } finally {
      stage.log("the daemon has closed the connection; bytes of the head sent: " + sent);
    }
  }

  private boolean answer(
      Server server, Http.Message head, InputStream input, OutputStream output, int work)
      throws IOException {
    Http.readBody(head, input, false);
    Server.pause(work);
    if (stage.millis() > END - 10_000 && server.service.equals("notifier")) {
      lateLookups.incrementAndGet();
      if (server.id.equals("i-0")) {
        lateLookupsAtTroubled.incrementAndGet();
      }
    }
    server.answer(head, output, 200, new byte[1500]);
    return true;
  }

  // -- clients

  private void callAll(Stage.Daemon daemon, String method, String path, int deadline) {
    Http.Connection connection = null;
    while (stage.millis() < END) {
      int request = number.incrementAndGet();
      long start = stage.millis();
      String result;
      try {
        connection = connection == null ? new Http.Connection(daemon.outbound) : connection;
        start = stage.millis();
        connection.send(
            Http.request(
                method,
                path,
                Map.of(
                    "Host", "mesh.example",
                    "Parsleycart-Attempt-Id", "q" + request,
                    "Parsleycart-Deadline-Ms", "" + deadline),
                new byte[method.equals("GET") ? 0 : 4000]));
        result = "status " + connection.receive(deadline).status();
      } catch (IOException e) {
        result = "no answer: " + e.getMessage();
        Http.closeQuietly(connection);
        connection = null;
      }
      long duration = stage.millis() - start;
      stage.log("%s %s q%d sent at %d, %s after %d ms"
          .formatted(daemon.name, path, request, start, result, duration));
      if (method.equals("POST") && duration > ROUTE_TIMEOUT) {
        overTimeout.incrementAndGet();
        if (duration > ROUTE_TIMEOUT + ANSWER_MARGIN) {
          unanswered.incrementAndGet();
        }
      }
      Server.pause(200);
    }
  }
}
