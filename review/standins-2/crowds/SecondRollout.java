import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The next rollout of a service brings the version back that was rolled back before it. */
final class SecondRollout {
  private static final int CALLERS = 96;
  private static final int INTERVAL_MILLISECONDS = 160;
  private static final int WORK_MILLISECONDS = 90;
  private static final int DURATION_MILLISECONDS = 12_000;
  private static final int START_MILLISECONDS = 1_500;

  /** "Some seconds" after the status, the servers of the version that was rolled back drain. */
  private static final int SOME_SECONDS = 6_000;

  private static final int NEXT_ORDER_MILLISECONDS = 500;
  private static final double CANARY_SHARE = 0.1;
  private static final int CANARY_SLACK = 50;
  private static final int ROLLBACK_MILLISECONDS = 5_000;
  private static final int BAD_ANSWERS = 50;

  /** An arrival at a server: when its client sent the request, and whether it was answered well. */
  private record Arrival(String version, long sentAt, long at, boolean isGood) {}

  public static void main(String[] arguments) {
    Case.run(arguments, SecondRollout::holds);
  }

  private static boolean holds(Mesh mesh) throws Exception {
    List<Mesh.Daemon> daemons = new ArrayList<>();
    for (int index = 1; index <= 8; index++) {
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
    for (Mesh.Daemon daemon : daemons) {
      Case.require(daemon.awaitReady(30_000), daemon.name + " did not start");
    }
    Map<String, Long> sentAt = new ConcurrentHashMap<>();
    List<Arrival> arrivals = new ArrayList<>();
    AtomicInteger number = new AtomicInteger();
    Mesh.Handler handler =
        (server, connection, head) -> {
          connection.receiveBody(head);
          boolean isGood = !server.version.equals("v2") || number.getAndIncrement() % 3 != 0;
          synchronized (arrivals) {
            long sent = sentAt.getOrDefault(head.id(), mesh.now());
            arrivals.add(new Arrival(server.version, sent, mesh.now(), isGood));
          }
          Mesh.sleep(WORK_MILLISECONDS);
          Mesh.answer(
              connection, head, isGood ? 200 : 500, "Parsleycart-Response-Stamp: s\r\n", "ok");
          return true;
        };
    mesh.server("i-old-1", "back", "v1", 18, daemons.get(2), handler);
    mesh.server("i-old-2", "back", "v1", 18, daemons.get(3), handler);
    Mesh.sleep(5_000);
    AtomicBoolean isEnded = new AtomicBoolean();
    for (int caller = 0; caller < CALLERS; caller++) {
      Mesh.Daemon entry = daemons.get(caller % 2);
      String name = "c" + caller;
      Mesh.daemonThread(name, () -> call(mesh, entry, name, sentAt, isEnded));
    }
    Mesh.sleep(3_000);

    long orderedAt = order(mesh, "v2");
    Mesh.sleep(START_MILLISECONDS);
    List<Mesh.Server> bad =
        List.of(
            mesh.server("i-bad-1", "back", "v2", 18, daemons.get(4), handler),
            mesh.server("i-bad-2", "back", "v2", 18, daemons.get(5), handler));
    boolean isRolledBack =
        Mesh.await(
            DURATION_MILLISECONDS,
            () -> mesh.store.value("status", "rollout/back").contains("rolled_back"));
    Case.require(isRolledBack, "v2 was not rolled back in time");
    long rolledBackAt = mesh.now();
    mesh.log("status %s, v2 has had %d requests", status(mesh), count(arrivals, "v2"));
    Mesh.sleep(NEXT_ORDER_MILLISECONDS);
    if (Case.TROUBLE) {
      order(mesh, "v3");
      Mesh.sleep(START_MILLISECONDS);
      mesh.server("i-next-1", "back", "v3", 18, daemons.get(6), handler);
      mesh.server("i-next-2", "back", "v3", 18, daemons.get(7), handler);
    }
    Mesh.sleep(rolledBackAt + SOME_SECONDS - mesh.now());
    for (Mesh.Server server : bad) {
      server.isSilent = true;
      mesh.log("%s reports draining: answer %d", server.id, server.heartbeat("draining"));
    }
    Mesh.sleep(orderedAt + DURATION_MILLISECONDS + 1_000 - mesh.now());
    mesh.log("status %s, v3 has had %d requests", status(mesh), count(arrivals, "v3"));
    isEnded.set(true);
    return judge(mesh, arrivals, orderedAt);
  }

  private static long order(Mesh mesh, String version) {
    mesh.store.put(
        "op",
        "rollout/back",
        String.format(
            "{\"service\":\"back\",\"to\":\"%s\",\"durationS\":%d}",
            version, DURATION_MILLISECONDS / 1_000));
    mesh.log("rollout of back to %s ordered", version);
    return mesh.now();
  }

  private static String status(Mesh mesh) {
    return mesh.store.value("status", "rollout/back");
  }

  private static long count(List<Arrival> arrivals, String version) {
    synchronized (arrivals) {
      return arrivals.stream().filter(each -> each.version.equals(version)).count();
    }
  }

  private static void call(
      Mesh mesh, Mesh.Daemon entry, String name, Map<String, Long> sentAt, AtomicBoolean isEnded) {
    int number = 0;
    while (!isEnded.get()) {
      try (Mesh.Connection connection = Mesh.Connection.open(entry.callers)) {
        while (!isEnded.get()) {
          String id = name + "-" + number++;
          sentAt.put(id, mesh.now());
          connection.send(Mesh.head("GET", "/a/x", id, 1_000, ""));
          int status = connection.receive(3_000).status;
          mesh.log("%s sent %d, answered %d", id, sentAt.get(id), status);
          Mesh.sleep(INTERVAL_MILLISECONDS);
        }
      } catch (Exception e) {
        mesh.log("%s-%d: %s", name, number - 1, e);
      }
    }
  }

  private static boolean judge(Mesh mesh, List<Arrival> all, long orderedAt) {
    List<Arrival> arrivals;
    synchronized (all) {
      arrivals = List.copyOf(all);
    }
    long deadline = orderedAt + DURATION_MILLISECONDS;
    long inTime =
        arrivals.stream().filter(each -> each.at >= orderedAt && each.at <= deadline).count();
    List<Arrival> exposed =
        arrivals.stream().filter(each -> each.version.equals("v2") && each.at <= deadline).toList();
    double allowed = CANARY_SHARE * inTime + CANARY_SLACK;
    long[] bad =
        exposed.stream().filter(each -> !each.isGood).mapToLong(Arrival::at).sorted().toArray();
    long last = bad.length < BAD_ANSWERS ? Long.MAX_VALUE : bad[BAD_ANSWERS - 1];
    long late =
        exposed.stream()
            .filter(each -> last != Long.MAX_VALUE)
            .filter(each -> each.sentAt > last + WORK_MILLISECONDS + ROLLBACK_MILLISECONDS)
            .count();
    mesh.log(
        "v2 got %d of %d requests, allowed are %.0f; %d bad answers, %d requests sent over %d ms"
            + " after the %dth",
        exposed.size(), inTime, allowed, bad.length, late, ROLLBACK_MILLISECONDS, BAD_ANSWERS);
    return exposed.size() <= allowed && late == 0;
  }
}
