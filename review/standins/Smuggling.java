package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends one request with {@code Transfer-Encoding: chunked, identity}, whose body holds
 * the bytes of another request. Checked is that no server runs the request in the body.
 */
final class Smuggling implements Case.Script {
  private static final int REQUESTS = 20;
  private static final int DEADLINE = 800;

  private final AtomicInteger smuggled = new AtomicInteger();
  private Stage stage;

  @Override
  public void run(Stage newStage) throws Exception {
    stage = newStage;
    Configurations.write(stage);
    Stage.Daemon entry = stage.addDaemon("sidecar-0", 0, "scheduler");
    Stage.Daemon beside = stage.addDaemon("sidecar-1", 1, "notifier");
    stage.startDaemons();
    new Server(stage, entry, "i-0", 18, this::answer);
    new Server(stage, beside, "i-1", 18, this::answer);
    Server.pause(5000);
    for (int request = 0; request < REQUESTS; request++) {
      call(entry, request);
    }
    Server.pause(DEADLINE);
    stage.log("requests inside a body that a server ran: " + smuggled);
    stage.exit(smuggled.get() > 0 ? Stage.EXIT_BROKEN : Stage.EXIT_HELD);
  }

  private boolean answer(
      Server server, Http.Message head, InputStream input, OutputStream output)
      throws IOException {
    byte[] body = Http.readBody(head, input, false);
    String id = head.header("Parsleycart-Attempt-Id").orElse("none");
    stage.log(
        "%s runs %s, id %s, body of %d bytes"
            .formatted(server.id, head.firstLine(), id, body.length));
    smuggled.addAndGet(id.startsWith("inner") ? 1 : 0);
    server.answer(head, output, 200, new byte[100]);
    return true;
  }

  private void call(Stage.Daemon entry, int number) {
    String inner =
        "GET /lookup/inner HTTP/1.1\r\nHost: mesh.example\r\nParsleycart-Attempt-Id: inner%d\r\n"
                .formatted(number)
            + "Parsleycart-Deadline-Ms: 800\r\n\r\n";
    String body = "0\r\n\r\n" + inner;
    String framing =
        Stage.hasTrouble()
            ? "Transfer-Encoding: chunked, identity"
            : "Content-Length: " + body.length();
    String outer =
        "POST /booking/x HTTP/1.1\r\nHost: mesh.example\r\nParsleycart-Attempt-Id: outer%d\r\n"
                .formatted(number)
            + "Parsleycart-Deadline-Ms: 1000\r\n"
            + framing
            + "\r\n\r\n";
    try (Http.Connection connection = new Http.Connection(entry.outbound)) {
      connection.send(Http.bytes(outer + body));
      for (int answer = 0; answer < 2; answer++) {
        Http.Message message = connection.receive(DEADLINE);
        stage.log(
            "client %d gets %s for %s"
                .formatted(
                    number,
                    message.firstLine(),
                    message.header("Parsleycart-Attempt-Id").orElse("no id")));
      }
    } catch (IOException e) {
      stage.log("client " + number + " gets no further answer: " + e.getMessage());
    }
  }
}
