import java.util.ArrayList;
import java.util.List;

/** A daemon hangs for good after a crowd of clients that each sent a few requests ahead. */
final class PipelinedCrowd {
  private static final int CROWD = 1_990;
  private static final int SENT_AHEAD = 5;

  /** Below the longest work of a request in the site file, 940 ms. */
  private static final int SLOW_MILLISECONDS = 900;

  private static final int QUICK_MILLISECONDS = 20;

  /** The clients arrive within less than a second. */
  private static final int PAUSE_MILLISECONDS = 5;

  private static final int CLIENTS_PER_PAUSE = 50;
  private static final int STAY_MILLISECONDS = 5_000;
  private static final int CALM_MILLISECONDS = 5_000;
  private static final int REQUESTS = 12;
  private static final int INTERVAL_MILLISECONDS = 300;
  private static final int TIMEOUT_MILLISECONDS = 1_000;
  private static final int GRACE_MILLISECONDS = 500;
  private static final int EIGHT = 8;

  public static void main(String[] arguments) {
    Case.run(arguments, PipelinedCrowd::holds);
  }

  private static boolean holds(Mesh mesh) throws Exception {
    Mesh.Daemon entry = mesh.daemon("d1", "z1", "z1,z2", "slow");
    Mesh.Daemon beside = mesh.daemon("d2", "z2", "z1,z2", "quick");
    Mesh.Daemon third = mesh.daemon("d3", "z1", "z1,z2", "slow");
    String[][] routes = {
      {"r-quick", "/quick/", "safe", "quick", "1000", "2"},
      {"r-slow", "/slow/", "safe", "slow", "1000", "2"}
    };
    mesh.store.put("op", "config", Mesh.configuration(1, routes, "quick", "slow"));
    entry.start();
    beside.start();
    third.start();
    mesh.server("i-slow-1", "slow", "v1", 18, entry, (s, c, head) -> serve(c, head, SLOW_MILLISECONDS));
    mesh.server("i-slow-2", "slow", "v1", 18, third, (s, c, head) -> serve(c, head, SLOW_MILLISECONDS));
    mesh.server("i-quick", "quick", "v1", 18, beside, (s, c, head) -> serve(c, head, QUICK_MILLISECONDS));
    for (Mesh.Daemon daemon : List.of(entry, beside, third)) {
      Case.require(daemon.awaitReady(20_000), daemon.name + " is not ready");
    }
    Mesh.sleep(4_500);
    Case.require(request(mesh, entry, "before") == 200, "no request is served before the crowd");

    int requests = Case.TROUBLE ? SENT_AHEAD : 1;
    List<Mesh.Connection> crowd = new ArrayList<>();
    for (int client = 0; client < CROWD; client++) {
      StringBuilder text = new StringBuilder();
      for (int index = 0; index < requests; index++) {
        String id = "crowd-" + client + "-" + index;
        // The first is answered at once, so that all others are requests that came early.
        String path = Case.TROUBLE && index == 0 ? "/none/x" : "/slow/x";
        text.append(Mesh.head("GET", path, id, TIMEOUT_MILLISECONDS, ""));
      }
      try {
        Mesh.Connection connection = Mesh.Connection.open(entry.callers);
        crowd.add(connection);
        connection.send(text.toString());
      } catch (Exception e) {
        // The daemon refuses this client.
      }
      Mesh.sleep(client % CLIENTS_PER_PAUSE == 0 ? PAUSE_MILLISECONDS : 0);
    }
    mesh.log("%d clients have sent %d requests each to d1", crowd.size(), requests);
    Mesh.sleep(STAY_MILLISECONDS);
    for (Mesh.Connection connection : crowd) {
      connection.close();
    }
    mesh.log("all of them have closed their connections");
    Mesh.sleep(CALM_MILLISECONDS);

    int unanswered = 0;
    for (int index = 0; index < REQUESTS; index++) {
      unanswered += request(mesh, entry, "after-" + index) == 0 ? 1 : 0;
      Mesh.sleep(INTERVAL_MILLISECONDS);
    }
    mesh.log(
        "%d of %d requests had no answer %d ms after the timeout of their route; d1 %s, and says"
            + " that it is %s",
        unanswered,
        REQUESTS,
        GRACE_MILLISECONDS,
        entry.isAlive() ? "runs" : "has ended",
        entry.awaitReady(2_000) ? "ready" : "not ready, or nothing");
    return unanswered < EIGHT || unanswered * 2 <= REQUESTS;
  }

  private static boolean serve(Mesh.Connection connection, Mesh.Message head, int workMilliseconds)
      throws Exception {
    connection.receiveBody(head);
    Mesh.sleep(workMilliseconds);
    Mesh.answer(connection, head, 200, "Parsleycart-Response-Stamp: s\r\n", "ok");
    return true;
  }

  /** Returns the status of the answer, 0 if there was none in time. */
  private static int request(Mesh mesh, Mesh.Daemon entry, String id) {
    try (Mesh.Connection connection = Mesh.Connection.open(entry.callers)) {
      connection.send(Mesh.head("GET", "/quick/x", id, TIMEOUT_MILLISECONDS, ""));
      int status = connection.receive(TIMEOUT_MILLISECONDS + GRACE_MILLISECONDS).status;
      mesh.log("%s: answered %d", id, status);
      return status;
    } catch (Exception e) {
      mesh.log("%s: %s", id, e.getMessage());
      return 0;
    }
  }
}
