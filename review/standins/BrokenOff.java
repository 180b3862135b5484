package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers send answers without a length, and a few of these are reset on the way. Checked is that no
 * client gets a success that looks complete with a body that isn't the server's whole body.
 *
 * <p>One half of the clients opens a connection for each request and says so with {@code Connection:
 * close}; the other half keeps its connections, and the daemon that takes its requests gets SIGTERM
 * and starts again.
 */
final class BrokenOff implements Case.Script {
  private static final int CLIENTS = 10;
  private static final double BROKEN_SHARE = 0.05;
  private static final int BODY_BYTES = 1500;
  private static final int DEADLINE = 800;
  private static final long END = 45_000;

  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger brokenOff = new AtomicInteger();
  private final AtomicInteger falselyCompleteFresh = new AtomicInteger();
  private final AtomicInteger falselyCompleteKept = new AtomicInteger();
  private volatile boolean isTroubled;
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.write(stage);
    Stage.Daemon calm = stage.addDaemon("sidecar-0", 0, "ledger");
    Stage.Daemon stopped = stage.addDaemon("sidecar-1", 1, "scheduler");
    Stage.Daemon beside = stage.addDaemon("sidecar-2", 2, "notifier");
    Stage.Daemon other = stage.addDaemon("sidecar-3", 3, "notifier");
    stage.startDaemons();
    new Server(stage, beside, "i-2", 18, this::answer);
    new Server(stage, other, "i-3", 18, this::answer);
    Server.pause(5000);
    for (int client = 0; client < CLIENTS; client++) {
      Server.thread(() -> callFresh(calm));
      Server.thread(() -> callKept(stopped));
    }
    isTroubled = Stage.hasTrouble();
    while (stage.millis() < END) {
      Server.pause(4000);
      if (Stage.hasTrouble()) {
        stopped.signal("TERM");
        stopped.process.waitFor();
        stopped.start();
        stage.awaitReady(stopped);
      }
    }
    isTroubled = false;
    Server.pause(DEADLINE);
    stage.log(
        "answers that the servers broke off: %s; of these successes that look complete: %s at"
                .formatted(brokenOff, falselyCompleteFresh)
            + " clients with a connection for each request, %s at clients of a daemon that is"
                .formatted(falselyCompleteKept)
            + " being stopped");
    boolean isBroken = falselyCompleteFresh.get() + falselyCompleteKept.get() > 0;
    stage.exit(isBroken ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  // -- servers

  /** Answers without a length; a broken answer ends with a reset after half of the body. */
  private boolean answer(
      Server server, Http.Message head, InputStream input, OutputStream output)
      throws IOException {
    Http.readBody(head, input, false);
    Server.pause(40);
    String id = head.header("Parsleycart-Attempt-Id").orElse("");
    output.write(
        Http.bytes(
            "HTTP/1.1 200 Answer\r\nParsleycart-Attempt-Id: "
                + id
                + "\r\nParsleycart-Response-Stamp: "
                + server.id
                + "\r\n\r\n"));
    boolean isBroken = isTroubled && ThreadLocalRandom.current().nextDouble() < BROKEN_SHARE;
    output.write(body(), 0, isBroken ? BODY_BYTES / 2 : BODY_BYTES);
    output.flush();
    if (isBroken) {
      brokenOff.incrementAndGet();
      stage.log(server.id + " breaks off its answer to " + id + " after " + BODY_BYTES / 2 + " bytes");
      Server.pause(20);
      throw new Server.ResetException();
    }
    return false;
  }

  private static byte[] body() {
    byte[] body = new byte[BODY_BYTES];
    Arrays.fill(body, (byte) 'b');
    return body;
  }

  // -- clients

  private void callFresh(Stage.Daemon daemon) {
    while (stage.millis() < END) {
      try (Http.Connection connection = new Http.Connection(daemon.outbound)) {
        callOnce(daemon, connection, true);
      } catch (IOException e) {
        stage.log("client at " + daemon.name + ": no whole answer: " + e.getMessage());
      }
      Server.pause(60);
    }
  }

  private void callKept(Stage.Daemon daemon) {
    Http.Connection connection = null;
    while (stage.millis() < END) {
      boolean isKept = false;
      try {
        connection = connection == null ? new Http.Connection(daemon.outbound) : connection;
        isKept = callOnce(daemon, connection, false);
      } catch (IOException e) {
        stage.log("client at " + daemon.name + ": no whole answer: " + e.getMessage());
      }
      if (!isKept) {
        Http.closeQuietly(connection);
        connection = null;
      }
      Server.pause(60);
    }
  }

  /** Sends a request, checks a success that looks complete, and returns whether to reuse it. */
  private boolean callOnce(Stage.Daemon daemon, Http.Connection connection, boolean closes)
      throws IOException {
    String id = "q" + number.incrementAndGet();
    Map<String, String> headers = new TreeMap<>();
    headers.put("Host", "mesh.example");
    headers.put("Parsleycart-Attempt-Id", id);
    headers.put("Parsleycart-Deadline-Ms", "" + DEADLINE);
    if (closes) {
      headers.put("Connection", "close");
    }
    connection.send(Http.request("GET", "/lookup/x", headers, new byte[0]));
    Http.Message answer = connection.receive(DEADLINE);
    boolean isFalse = answer.status() == 200 && answer.body().length != BODY_BYTES;
    stage.log(
        "client at %s: %s status %d, %d bytes%s"
            .formatted(
                daemon.name,
                id,
                answer.status(),
                answer.body().length,
                isFalse ? ", which look complete, headers " + answer.headers() : ""));
    if (isFalse) {
      (closes ? falselyCompleteFresh : falselyCompleteKept).incrementAndGet();
    }
    return !"close".equalsIgnoreCase(answer.header("Connection").orElse(""));
  }
}
