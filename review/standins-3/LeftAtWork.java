import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Servers stay at work on idempotent requests in chunks whose clients have left. */
final class LeftAtWork {
  private static final int CLIENTS = 120;

  /** Every fifth client leaves, the share of the pages. */
  private static final int LEAVING = 5;

  private static final int INTERVAL_MILLISECONDS = 120;
  private static final int WORK_MILLISECONDS = 1_500;
  private static final int DEADLINE_MILLISECONDS = 2_500;

  /** Half of the latency objective of the route. */
  private static final int STAY_MILLISECONDS = 200;

  private static final int GONE_MILLISECONDS = 500;

  public static void main(String[] arguments) {
    Case.run(arguments, LeftAtWork::holds);
  }

  private static boolean holds(Mesh mesh) throws Exception {
    Mesh.Daemon entry = mesh.daemon("d1", "z1", "z1,z2", "front");
    Mesh.Daemon beside = mesh.daemon("d2", "z2", "z1,z2", "back");
    mesh.store.put(
        "op",
        "config",
        Mesh.configuration(
            1, new String[][] {{"r-a", "/a/", "safe", "back", "2500", "1"}}, "front", "back"));
    entry.start();
    beside.start();
    Map<String, Long> leftAt = new ConcurrentHashMap<>();
    Map<String, Long> endedAt = new ConcurrentHashMap<>();
    Set<String> begun = ConcurrentHashMap.newKeySet();
    mesh.server(
        "i-1",
        "back",
        "v1",
        18,
        beside,
        (server, connection, head) -> {
          connection.receiveBody(head);
          begun.add(head.id());
          try {
            connection.socket.setSoTimeout(WORK_MILLISECONDS);
            connection.socket.getInputStream().read();
            return false;
          } catch (SocketTimeoutException e) {
            Mesh.answer(connection, head, 200, "Parsleycart-Response-Stamp: s\r\n", "ok");
            return true;
          } finally {
            endedAt.put(head.id(), mesh.now());
          }
        });
    Case.require(entry.awaitReady(20_000) && beside.awaitReady(20_000), "no daemon is ready");
    Mesh.sleep(4_000);
    List<Thread> clients = new ArrayList<>();
    for (int client = 0; client < CLIENTS; client++) {
      boolean isChunked = client % 2 == 0;
      boolean isLeaving = Case.TROUBLE && client % LEAVING == 0;
      String id = (isChunked ? "chunks-" : "length-") + client;
      Thread thread = new Thread(() -> request(mesh, entry, id, isChunked, isLeaving, leftAt));
      thread.start();
      clients.add(thread);
      Mesh.sleep(INTERVAL_MILLISECONDS);
    }
    for (Thread thread : clients) {
      thread.join();
    }
    Mesh.sleep(WORK_MILLISECONDS + 500);
    int counted = 0;
    int atWork = 0;
    for (String id : leftAt.keySet()) {
      if (begun.contains(id)) {
        counted++;
        long after = endedAt.getOrDefault(id, mesh.now()) - leftAt.get(id);
        mesh.log("%s: its server ended %d ms after its client had left", id, after);
        atWork += after > GONE_MILLISECONDS ? 1 : 0;
      }
    }
    mesh.log(
        "servers were at work %d ms after the client had left on %d of %d requests",
        GONE_MILLISECONDS, atWork, counted);
    return atWork * 4 <= counted;
  }

  private static void request(
      Mesh mesh,
      Mesh.Daemon entry,
      String id,
      boolean isChunked,
      boolean isLeaving,
      Map<String, Long> leftAt) {
    try (Mesh.Connection connection = Mesh.Connection.open(entry.callers)) {
      String framing = isChunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 4\r\n";
      connection.send(
          Mesh.head("POST", "/a/x", id, DEADLINE_MILLISECONDS, framing)
              + (isChunked ? "4\r\nbody\r\n0\r\n\r\n" : "body"));
      if (isLeaving) {
        Mesh.sleep(STAY_MILLISECONDS);
        connection.close();
        leftAt.put(id, mesh.now());
        mesh.log("%s: sent, client left after %d ms", id, STAY_MILLISECONDS);
      } else {
        mesh.log("%s: sent, answered %d", id, connection.receive(5_000).status);
      }
    } catch (Exception e) {
      mesh.log("%s: %s", id, e);
    }
  }
}
