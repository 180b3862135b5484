import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleycart.platform.standin.StoreFault;

/**
 * A daemon that has acknowledged that its server leaves is killed while the store is down. A late
 * heartbeat of the server reaches the daemon's next process.
 */
final class ForgottenDeparture {
  private static final int DRAIN_MILLISECONDS = 2000;
  private static final int STORE_DOWN_MILLISECONDS = 8000;
  private static final int RESTARTS_AFTER_MILLISECONDS = 500;

  /** "A heartbeat may arrive seconds late." */
  private static final int HEARTBEAT_LATE_MILLISECONDS = 2500;

  /** The heartbeat is later if the daemon takes longer to start. */
  private static final int HEARTBEAT_ATTEMPTS = 20;

  /** The server serves on for drainMs and "a little longer (at times many seconds)". */
  private static final int EXITS_AFTER_MILLISECONDS = 9000;

  private static final int PAUSE_MILLISECONDS = 20;

  private static volatile long lastArrival = Long.MAX_VALUE;
  private static volatile boolean isOver;

  private ForgottenDeparture() {}

  public static void main(String[] arguments) {
    Mesh.play(arguments, ForgottenDeparture::play);
  }

  private static boolean play(Mesh mesh) throws Exception {
    mesh.configure("r1", Mesh.route("look", "/look/", "safe", 1000, 400));
    List<Mesh.Daemon> daemons =
        List.of(mesh.daemon("d1", "one"), mesh.daemon("d2", "one"), mesh.daemon("d3", "two"));
    AtomicInteger late = new AtomicInteger();
    Server leaving =
        mesh.closeAtEnd(
            new Server(mesh, "i-leaving", "one", "v1", 18, 20, daemons.get(0)) {
              @Override
              protected void arrived(Request request) {
                boolean isLate = mesh.now() > lastArrival;
                late.addAndGet(isLate ? 1 : 0);
                super.arrived(request);
              }
            });
    Server staying =
        mesh.closeAtEnd(new Server(mesh, "i-staying", "one", "v1", 18, 20, daemons.get(1)));
    leaving.start();
    staying.start();
    for (Mesh.Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    TimeUnit.MILLISECONDS.sleep(5000);
    Server.thread(() -> drive(mesh, daemons.get(2)));
    TimeUnit.MILLISECONDS.sleep(3000);

    String lateHeartbeat = leaving.nextHeartbeat();
    if (!leaving.deregister()) {
      throw new IllegalStateException("leaving was not acknowledged");
    }
    long leftAt = mesh.now();
    lastArrival = leftAt + DRAIN_MILLISECONDS;
    mesh.record("i-leaving: its leaving is acknowledged");
    if (Mesh.hasTrouble()) {
      mesh.store.setFault(StoreFault.DOWN);
      mesh.record("store: down");
      daemons.get(0).signal("KILL");
      Server.thread(() -> endStoreFault(mesh));
      TimeUnit.MILLISECONDS.sleep(RESTARTS_AFTER_MILLISECONDS);
      daemons.get(0).start();
    }
    TimeUnit.MILLISECONDS.sleep(leftAt + HEARTBEAT_LATE_MILLISECONDS - mesh.now());
    boolean isDelivered = leaving.send(lateHeartbeat);
    for (int attempt = 1; !isDelivered && attempt < HEARTBEAT_ATTEMPTS; attempt++) {
      TimeUnit.MILLISECONDS.sleep(100);
      isDelivered = leaving.send(lateHeartbeat);
    }
    mesh.record("i-leaving: late heartbeat delivered: %s", isDelivered);
    TimeUnit.MILLISECONDS.sleep(leftAt + EXITS_AFTER_MILLISECONDS - mesh.now());
    leaving.close();
    mesh.record("i-leaving: has exited");
    isOver = true;
    TimeUnit.MILLISECONDS.sleep(1500);
    mesh.record("%d requests reached i-leaving later than drainMs after the ack", late.get());
    return late.get() > 0;
  }

  private static void endStoreFault(Mesh mesh) {
    Server.sleep(STORE_DOWN_MILLISECONDS);
    mesh.store.setFault(StoreFault.NONE);
    mesh.record("store: up");
  }

  private static void drive(Mesh mesh, Mesh.Daemon entry) {
    for (int number = 0; !isOver; number++) {
      String identifier = "look-" + number;
      Server.thread(() -> look(mesh, entry, identifier));
      Server.sleep(PAUSE_MILLISECONDS);
    }
  }

  private static void look(Mesh mesh, Mesh.Daemon entry, String identifier) {
    try (Client client = new Client(entry.callers, 1500)) {
      client.send(Client.head("GET", "/look/x", identifier, 1000) + "\r\n");
      mesh.record("client: %s is sent", identifier);
      mesh.record("client: %s is answered %d", identifier, client.read().status());
    } catch (Exception e) {
      mesh.record("client: %s has no answer: %s", identifier, e);
    }
  }
}
