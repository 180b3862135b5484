import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients, whose bodies come in chunks, leave while their requests wait for a busy server. */
final class LeftCallers {
  /** "more than a few" */
  private static final int FEW = 5;

  private static final int REACHES_LATE_MILLISECONDS = 500;

  /** One every 50 ms for 5.5 s, the time for which clients leave in the list of the site. */
  private static final int REQUESTS = 110;

  private static final int PAUSE_MILLISECONDS = 50;
  private static final int WORK_MILLISECONDS = 700;
  private static final int TIMEOUT_MILLISECONDS = 5000;
  private static final int LEAVES_AFTER_MILLISECONDS = 300;

  /** Every fifth client leaves: the share in the list of disruptions of the site. */
  private static final int LEAVING_ONE_IN = 5;

  private LeftCallers() {}

  public static void main(String[] arguments) {
    Mesh.play(arguments, LeftCallers::play);
  }

  private static boolean play(Mesh mesh) throws Exception {
    mesh.configure("r1", Mesh.route("book", "/book/", "unsafe", TIMEOUT_MILLISECONDS, 4000));
    List<Mesh.Daemon> daemons = List.of(mesh.daemon("d1", "one"), mesh.daemon("d2", "two"));
    Map<String, Long> closedAt = new ConcurrentHashMap<>();
    AtomicInteger late = new AtomicInteger();
    Server server =
        mesh.closeAtEnd(
            new Server(mesh, "i-one", "one", "v1", 6, WORK_MILLISECONDS, daemons.get(0)) {
              @Override
              protected void arrived(Request request) {
                long now = mesh.now();
                long closed = closedAt.getOrDefault(request.identifier(), Long.MAX_VALUE);
                boolean isLate = now - REACHES_LATE_MILLISECONDS > closed;
                late.addAndGet(isLate ? 1 : 0);
                mesh.record(
                    "i-one: got %s%s",
                    request.identifier(),
                    isLate ? ", %d ms after its client had left".formatted(now - closed) : "");
              }
            });
    server.start();
    for (Mesh.Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    // Longer than touchMs, and past the time in which the server counts as just started.
    TimeUnit.MILLISECONDS.sleep(5000);

    AtomicInteger left = new AtomicInteger();
    for (int number = 0; number < REQUESTS; number++) {
      String identifier = "book-" + number;
      Mesh.Daemon entry = daemons.get(number % 2);
      boolean isLeaving = Mesh.hasTrouble() && number % LEAVING_ONE_IN == 0;
      left.addAndGet(isLeaving ? 1 : 0);
      Server.thread(() -> book(mesh, entry, identifier, isLeaving, closedAt));
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
    }
    TimeUnit.MILLISECONDS.sleep(TIMEOUT_MILLISECONDS + 1000);
    mesh.record(
        "of %d clients, %d left; the requests of %d of these reached the server over half a second"
            + " later",
        REQUESTS, left.get(), late.get());
    return late.get() > FEW;
  }

  private static void book(
      Mesh mesh,
      Mesh.Daemon entry,
      String identifier,
      boolean isLeaving,
      Map<String, Long> closedAt) {
    try (Client client = new Client(entry.callers, TIMEOUT_MILLISECONDS + 1000)) {
      client.send(
          Client.head("POST", "/book/x", identifier, TIMEOUT_MILLISECONDS)
              + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
      mesh.record("client: %s is sent", identifier);
      if (isLeaving) {
        TimeUnit.MILLISECONDS.sleep(LEAVES_AFTER_MILLISECONDS);
      } else {
        mesh.record("client: %s is answered %d", identifier, client.read().status());
      }
    } catch (Exception e) {
      mesh.record("client: %s has no answer: %s", identifier, e);
    }
    if (isLeaving) {
      closedAt.put(identifier, mesh.now());
      mesh.record("client: %s has closed its connection", identifier);
    }
  }
}
