import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Clients that send most of a head of legal size and stop end a daemon. */
final class HeadCrowd {
  private static final int CROWD = 600;
  private static final int PARAMETERS = 990;
  private static final int THREADS = 8;

  /** The crowd arrives within about a second, a third of the time for a head. */
  private static final int PAUSE_MILLISECONDS = 10;

  private static final int ROUNDS = 5;

  /** Beyond the time that the configuration gives a client for a head. */
  private static final int STAY_MILLISECONDS = 4_000;

  private static final int RECOVERY_MILLISECONDS = 5_000;

  public static void main(String[] arguments) {
    Case.run(arguments, HeadCrowd::holds);
  }

  private static boolean holds(Mesh mesh) throws Exception {
    List<Mesh.Daemon> daemons = new ArrayList<>();
    for (int index = 1; index <= 4; index++) {
      String zone = index % 2 == 1 ? "z1" : "z2";
      daemons.add(mesh.daemon("d" + index, zone, "z1,z2", index <= 2 ? "front" : "back"));
    }
    mesh.store.put(
        "op",
        "config",
        Mesh.configuration(
            1, new String[][] {{"r-a", "/a/", "safe", "back", "1000", "2"}}, "front", "back"));
    for (Mesh.Daemon daemon : daemons) {
      daemon.start();
    }
    for (Mesh.Daemon beside : daemons.subList(2, 4)) {
      mesh.server("i-" + beside.name, "back", "v1", 18, beside, HeadCrowd::serve);
    }
    for (Mesh.Daemon daemon : daemons) {
      Case.require(daemon.awaitReady(20_000), daemon.name + " did not start");
    }
    Mesh.sleep(1_500);
    List<Mesh.Daemon> visited = daemons.subList(0, 2);
    int[] ends = new int[visited.size()];
    for (int round = 1; round <= ROUNDS; round++) {
      for (int index = 0; index < visited.size(); index++) {
        Mesh.Daemon daemon = visited.get(index);
        ordinaryRequest(mesh, daemon, round + "-before");
        if (Case.TROUBLE) {
          crowd(mesh, daemon);
        } else {
          Mesh.sleep(STAY_MILLISECONDS);
        }
        String after = round + "-after";
        Mesh.await(
            RECOVERY_MILLISECONDS,
            () -> !daemon.isAlive() || ordinaryRequest(mesh, daemon, after));
        if (!daemon.isAlive()) {
          ends[index]++;
          mesh.log("%s ended by itself with exit code %d", daemon.name, daemon.exitCode());
          daemon.start();
          Case.require(daemon.awaitReady(20_000), daemon.name + " did not start again");
          Mesh.sleep(500);
        }
      }
    }
    mesh.log("own ends: d1 %d, d2 %d of %d crowds each", ends[0], ends[1], ROUNDS);
    return ends[0] < 3 || ends[1] < 3;
  }

  private static boolean serve(Mesh.Server server, Mesh.Connection connection, Mesh.Message head)
      throws Exception {
    connection.receiveBody(head);
    Mesh.sleep(20);
    Mesh.answer(connection, head, 200, "Parsleycart-Response-Stamp: s\r\n", "ok");
    return true;
  }

  private static boolean ordinaryRequest(Mesh mesh, Mesh.Daemon daemon, String id) {
    try (Mesh.Connection connection = Mesh.Connection.open(daemon.callers)) {
      connection.send(Mesh.head("GET", "/a/x", daemon.name + "-" + id, 1_000, ""));
      int status = connection.receive(2_000).status;
      mesh.log("ordinary request %s: %d", id, status);
      return status == 200;
    } catch (Exception e) {
      mesh.log("ordinary request %s: %s", id, e);
      return false;
    }
  }

  /** Each client sends its head up to the last empty line, and keeps the connection open. */
  private static void crowd(Mesh mesh, Mesh.Daemon daemon) throws Exception {
    StringBuilder text = new StringBuilder("GET /a/x");
    for (int index = 0; index < PARAMETERS; index++) {
      text.append(index == 0 ? '?' : '&').append(Integer.toString(index, Character.MAX_RADIX));
    }
    byte[] head = text.append(" HTTP/1.1\r\nHost: mesh.example\r\n").toString().getBytes();
    List<Mesh.Connection> connections = Collections.synchronizedList(new ArrayList<>());
    List<Thread> threads = new ArrayList<>();
    for (int index = 0; index < THREADS; index++) {
      threads.add(new Thread(() -> openAndSend(daemon, head, connections)));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    mesh.log(
        "%d clients have sent %d bytes of a head with %d parameters to %s",
        connections.size(), head.length, PARAMETERS, daemon.name);
    Mesh.await(STAY_MILLISECONDS, () -> !daemon.isAlive());
    for (Mesh.Connection connection : connections) {
      connection.close();
    }
  }

  private static void openAndSend(
      Mesh.Daemon daemon, byte[] head, List<Mesh.Connection> connections) {
    for (int client = 0; client < CROWD / THREADS; client++) {
      try {
        Mesh.Connection connection = Mesh.Connection.open(daemon.callers);
        connections.add(connection);
        connection.send(head);
        Mesh.sleep(PAUSE_MILLISECONDS);
      } catch (Exception e) {
        // The daemon refuses this client or has ended.
      }
    }
  }
}
