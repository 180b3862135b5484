import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

/** A crowd of whole requests of legal size with many short parameters ends a daemon. */
final class ParameterCrowd {
  private static final int CROWD = 600;
  private static final int PARAMETERS = 990;
  private static final int THREADS = 8;

  private static final int ROUNDS = 4;

  /** The mean work of a request in the site file. */
  private static final int WORK_MILLISECONDS = 90;

  /** How long a client waits for its answer, beyond its deadline. */
  private static final int STAY_MILLISECONDS = 3_000;

  private static final int DEADLINE_MILLISECONDS = 1_000;

  private static final int RECOVERY_MILLISECONDS = 5_000;

  public static void main(String[] arguments) {
    Case.run(arguments, ParameterCrowd::holds);
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
      mesh.server("i-" + beside.name, "back", "v1", 18, beside, ParameterCrowd::serve);
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
        crowd(mesh, daemon, Case.TROUBLE ? PARAMETERS : 0);
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
    Mesh.sleep(WORK_MILLISECONDS);
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

  /** Each client opens a connection, sends one whole request and waits for its answer. */
  private static void crowd(Mesh mesh, Mesh.Daemon daemon, int parameters) throws Exception {
    StringBuilder path = new StringBuilder("/a/x");
    for (int index = 0; index < parameters; index++) {
      path.append(index == 0 ? '?' : '&').append(Integer.toString(index, Character.MAX_RADIX));
    }
    List<Mesh.Connection> connections = new ArrayList<>();
    for (int client = 0; client < CROWD; client++) {
      connections.add(Mesh.Connection.open(daemon.callers));
    }
    Map<String, Integer> answers = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int index = 0; index < THREADS; index++) {
      int first = index * CROWD / THREADS;
      threads.add(
          new Thread(
              () -> {
                List<Mesh.Connection> own = connections.subList(first, first + CROWD / THREADS);
                own.forEach(each -> send(each, path.toString()));
                own.forEach(each -> answers.merge(answer(each), 1, Integer::sum));
              }));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    mesh.log(
        "%d clients have sent a request with a path of %d bytes to %s: %s",
        CROWD, path.length(), daemon.name, new TreeMap<>(answers));
  }

  private static void send(Mesh.Connection connection, String path) {
    try {
      connection.send(
          Mesh.head("GET", path, UUID.randomUUID().toString(), DEADLINE_MILLISECONDS, ""));
    } catch (Exception e) {
      // The daemon has ended: no answer will come.
    }
  }

  private static String answer(Mesh.Connection connection) {
    try (connection) {
      return Integer.toString(connection.receive(STAY_MILLISECONDS).status);
    } catch (Exception e) {
      return e.getClass().getSimpleName();
    }
  }
}
