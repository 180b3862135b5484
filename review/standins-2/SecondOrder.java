import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator orders another version while the servers of a bad one are there: after the bad one
 * was rolled back, or while its rollout is under way.
 */
final class SecondOrder {
  private static final int DURATION_SECONDS = 16;
  private static final double CANARY_SHARE = 0.1;
  private static final int CANARY_SLACK = 50;
  private static final int ROLLBACK_MILLISECONDS = 5000;

  /** The number of bad answers after which the time of the rule runs. */
  private static final int BAD_ANSWERS = 50;

  private static final int REQUESTS_PER_SECOND = 200;

  /** When the new servers leave, from the roll-back: "some seconds later". */
  private static final int LEAVES_AFTER_MILLISECONDS = 6000;

  private static final int SECOND_ORDER_AFTER_MILLISECONDS = 500;

  /** When the order is replaced, from the start of its servers. */
  private static final int REPLACED_AFTER_MILLISECONDS = 2000;

  private final Mesh mesh;
  private final boolean isReplaced;
  private final AtomicInteger toService = new AtomicInteger();
  private final AtomicInteger toBadVersion = new AtomicInteger();
  private final AtomicInteger badAnswers = new AtomicInteger();
  private final AtomicInteger tooLate = new AtomicInteger();
  private final ConcurrentMap<String, Long> sentAt = new ConcurrentHashMap<>();
  private volatile long countedUntil = Long.MAX_VALUE;
  private volatile long lateAfter = Long.MAX_VALUE;
  private volatile boolean isOrdered;
  private volatile boolean isOver;

  /**
   * Creates a case.
   *
   * @param isReplaced whether the second order comes while the rollout of the first is under way
   */
  SecondOrder(Mesh mesh, boolean isReplaced) {
    this.mesh = mesh;
    this.isReplaced = isReplaced;
  }

  public static void main(String[] arguments) {
    Mesh.play(arguments, mesh -> new SecondOrder(mesh, false).play());
  }

  /** Returns whether the rule was broken. */
  boolean play() throws Exception {
    mesh.configure("r1", Mesh.route("look", "/look/", "safe", 1000, 400));
    List<Mesh.Daemon> daemons = new ArrayList<>();
    for (int number = 1; number <= 6; number++) {
      daemons.add(mesh.daemon("d" + number, "one"));
    }
    server("i-old-1", "v1", daemons.get(0)).start();
    server("i-old-2", "v1", daemons.get(1)).start();
    for (Mesh.Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    TimeUnit.MILLISECONDS.sleep(5000);
    Server.thread(() -> drive(daemons));
    TimeUnit.MILLISECONDS.sleep(3000);

    countedUntil = mesh.now() + DURATION_SECONDS * 1000L;
    order("v2");
    isOrdered = true;
    TimeUnit.MILLISECONDS.sleep(1000);
    List<Server> badServers =
        List.of(server("i-bad-1", "v2", daemons.get(2)), server("i-bad-2", "v2", daemons.get(3)));
    badServers.forEach(Server::start);
    if (isReplaced && Mesh.hasTrouble()) {
      TimeUnit.MILLISECONDS.sleep(REPLACED_AFTER_MILLISECONDS);
      orderSoundVersion(daemons);
      TimeUnit.MILLISECONDS.sleep(countedUntil - mesh.now());
    } else {
      awaitRollBack();
      TimeUnit.MILLISECONDS.sleep(SECOND_ORDER_AFTER_MILLISECONDS);
      if (Mesh.hasTrouble()) {
        orderSoundVersion(daemons);
      }
      TimeUnit.MILLISECONDS.sleep(LEAVES_AFTER_MILLISECONDS - SECOND_ORDER_AFTER_MILLISECONDS);
    }
    for (Server server : badServers) {
      mesh.record("%s: leaves, acknowledged: %s", server.identifier, server.drain());
    }
    TimeUnit.MILLISECONDS.sleep(Math.max(3000, countedUntil - mesh.now()));
    isOver = true;
    TimeUnit.MILLISECONDS.sleep(1500);

    double bound = CANARY_SHARE * toService.get() + CANARY_SLACK;
    mesh.record(
        "v2 got %d of the %d requests that reached the service between its order and its deadline;"
            + " bound %.0f",
        toBadVersion.get(), toService.get(), bound);
    mesh.record(
        "v2 gave %d bad answers; it got %d requests that were sent later than rollbackMs after the"
            + " 50th",
        badAnswers.get(), tooLate.get());
    mesh.record(
        "status of the rollout: %s", mesh.store.value("status", "rollout/one").orElse("none"));
    return toBadVersion.get() > bound || tooLate.get() > 0;
  }

  private void orderSoundVersion(List<Mesh.Daemon> daemons) throws Exception {
    order("v3");
    server("i-new-1", "v3", daemons.get(4)).start();
    server("i-new-2", "v3", daemons.get(5)).start();
  }

  private void order(String version) {
    mesh.record("operator: orders a rollout to %s", version);
    mesh.store.put(
        "op",
        "rollout/one",
        "{\"service\":\"one\",\"to\":\"%s\",\"durationS\":%d}"
            .formatted(version, DURATION_SECONDS));
  }

  private void awaitRollBack() throws InterruptedException {
    for (int attempt = 0; attempt < 10 * DURATION_SECONDS; attempt++) {
      String status = mesh.store.value("status", "rollout/one").orElse("");
      if (status.contains("rolled_back")) {
        mesh.record("status of the rollout: %s", status);
        return;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    throw new IllegalStateException("v2 was not rolled back");
  }

  /** Returns a server; of the answers of {@code v2}, every second one is a failure. */
  private Server server(String identifier, String version, Mesh.Daemon daemon) throws Exception {
    boolean isBad = version.equals("v2");
    return mesh.closeAtEnd(
        new Server(mesh, identifier, "one", version, 18, 30, daemon) {
          @Override
          protected void arrived(Request request) {
            if (isOrdered && mesh.now() <= countedUntil) {
              toService.incrementAndGet();
              toBadVersion.addAndGet(isBad ? 1 : 0);
            }
            super.arrived(request);
            if (isBad) {
              long sent = sentAt.getOrDefault(request.identifier(), 0L);
              tooLate.addAndGet(sent > lateAfter ? 1 : 0);
            }
          }

          @Override
          protected void respond(java.net.Socket socket, Request request)
              throws java.io.IOException {
            if (isBad && request.identifier().hashCode() % 2 == 0) {
              if (badAnswers.incrementAndGet() == BAD_ANSWERS) {
                lateAfter = mesh.now() + ROLLBACK_MILLISECONDS;
                mesh.record("%s: gives the 50th bad answer of v2", identifier);
              }
              answer(socket, 500, request.identifier(), "", "");
              return;
            }
            super.respond(socket, request);
          }
        });
  }

  private void drive(List<Mesh.Daemon> daemons) {
    for (int number = 0; !isOver; number++) {
      Mesh.Daemon entry = daemons.get(number % 2);
      String identifier = "look-" + number;
      Server.thread(() -> look(entry, identifier));
      Server.sleep(1000 / REQUESTS_PER_SECOND);
    }
  }

  private void look(Mesh.Daemon entry, String identifier) {
    try (Client client = new Client(entry.callers, 1500)) {
      sentAt.put(identifier, mesh.now());
      client.send(Client.head("GET", "/look/x", identifier, 1000) + "\r\n");
      mesh.record("client: %s is sent", identifier);
      mesh.record("client: %s is answered %d", identifier, client.read().status());
    } catch (Exception e) {
      mesh.record("client: %s has no answer: %s", identifier, e);
    }
  }
}
