import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** A ready daemon takes no new connection while clients keep connections open and send nothing. */
final class IdleCrowd {
  private static final int CROWD = 2_100;
  private static final int CLIENTS = 8;
  private static final int TRYING_CLIENTS = 7;
  private static final int INTERVAL_MILLISECONDS = 250;
  private static final int TOUCH_MILLISECONDS = 3_000;
  private static final int WATCHED_MILLISECONDS = 8_000;

  public static void main(String[] arguments) {
    Case.run(arguments, IdleCrowd::holds);
  }

  private static boolean holds(Mesh mesh) throws Exception {
    Mesh.Daemon entry = mesh.daemon("d1", "z1", "z1,z2", "front");
    Mesh.Daemon beside = mesh.daemon("d2", "z2", "z1,z2", "back");
    mesh.store.put(
        "op",
        "config",
        Mesh.configuration(
            1, new String[][] {{"r-a", "/a/", "safe", "back", "1000", "2"}}, "front", "back"));
    entry.start();
    beside.start();
    mesh.server(
        "i-1",
        "back",
        "v1",
        18,
        beside,
        (server, connection, head) -> {
          connection.receiveBody(head);
          Mesh.answer(connection, head, 200, "Parsleycart-Response-Stamp: s\r\n", "ok");
          return true;
        });
    Case.require(entry.awaitReady(20_000) && beside.awaitReady(20_000), "no daemon is ready");
    // Longer than touchMs, so that the machine is in touch.
    Mesh.sleep(4_000);
    Case.require(request(mesh, entry, "before"), "no request is served before the crowd");
    List<Mesh.Connection> crowd = new ArrayList<>();
    if (Case.TROUBLE) {
      for (int index = 0; index < CROWD; index++) {
        crowd.add(Mesh.Connection.open(entry.callers));
        Mesh.sleep(index % 50 == 0 ? 5 : 0);
      }
      mesh.log("%d clients have opened a connection and send nothing", CROWD);
    }

    AtomicBoolean isEnded = new AtomicBoolean();
    AtomicLong takenAt = new AtomicLong(mesh.now());
    Set<String> trying = ConcurrentHashMap.newKeySet();
    for (int client = 0; client < CLIENTS; client++) {
      String name = "client-" + client;
      Mesh.daemonThread(
          name,
          () -> {
            for (int number = 0; !isEnded.get(); number++) {
              trying.add(name);
              if (request(mesh, entry, name + "-" + number)) {
                takenAt.set(mesh.now());
                trying.remove(name);
              }
              Mesh.sleep(INTERVAL_MILLISECONDS);
            }
          });
    }
    long end = mesh.now() + WATCHED_MILLISECONDS;
    long since = mesh.now();
    long longest = 0;
    while (mesh.now() < end) {
      Mesh.sleep(INTERVAL_MILLISECONDS);
      boolean isReady = isReady(entry);
      boolean isBlocked = isReady && trying.size() >= TRYING_CLIENTS && takenAt.get() <= since;
      if (!isBlocked) {
        since = mesh.now();
      }
      longest = Math.max(longest, mesh.now() - since);
      mesh.log("ready: %b, clients that try: %d", isReady, trying.size());
    }
    isEnded.set(true);
    for (Mesh.Connection connection : crowd) {
      connection.close();
    }
    mesh.log(
        "the daemon said that it is ready and took no new connection for %d ms, while %d clients or"
            + " more tried",
        longest, TRYING_CLIENTS);
    return longest < TOUCH_MILLISECONDS;
  }

  /** Returns whether a request on a new connection got any answer. */
  private static boolean request(Mesh mesh, Mesh.Daemon entry, String id) {
    try (Mesh.Connection connection = Mesh.Connection.open(entry.callers)) {
      connection.send(Mesh.head("GET", "/a/x", id, 1_000, ""));
      mesh.log("%s: answered %d", id, connection.receive(2_000).status);
      return true;
    } catch (Exception e) {
      mesh.log("%s: %s", id, e.getMessage());
      return false;
    }
  }

  private static boolean isReady(Mesh.Daemon daemon) {
    try (Mesh.Connection connection = Mesh.Connection.open(daemon.readiness)) {
      connection.send("GET /parsleycart/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      return connection.receive(1_000).status == 200;
    } catch (Exception e) {
      return false;
    }
  }
}
