import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of eight servers leaves under high load, while its daemon holds queued requests for it. */
final class DrainedQueue {
  private static final int DRAIN_MILLISECONDS = 2000;
  private static final int SERVERS_PER_SERVICE = 4;
  private static final int SLOTS = 6;
  private static final int WORK_MILLISECONDS = 1500;
  private static final int TIMEOUT_MILLISECONDS = 6000;
  private static final int TARGET_MILLISECONDS = 5000;

  /** The four servers of the service run 16 a second. */
  private static final int REQUESTS_PER_SECOND = 24;

  private static final int LEAVES_AFTER_MILLISECONDS = 8000;

  /** The server exits "a little longer" than drainMs after the acknowledgement. */
  private static final int EXITS_LATER_MILLISECONDS = 1500;

  private final Mesh mesh;
  private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean isOver;

  private DrainedQueue(Mesh mesh) {
    this.mesh = mesh;
  }

  public static void main(String[] arguments) {
    Mesh.play(arguments, mesh -> new DrainedQueue(mesh).play());
  }

  private boolean play() throws Exception {
    mesh.configure(
        "r1",
        Mesh.route("book", "/book/", "unsafe", TIMEOUT_MILLISECONDS, TARGET_MILLISECONDS));
    List<Mesh.Daemon> daemons = new ArrayList<>();
    List<Server> servers = new ArrayList<>();
    for (String service : List.of("one", "two")) {
      for (int number = 1; number <= SERVERS_PER_SERVICE; number++) {
        Mesh.Daemon daemon = mesh.daemon("d-" + service + "-" + number, service);
        daemons.add(daemon);
        servers.add(server("i-" + service + "-" + number, service, daemon));
      }
    }
    servers.forEach(Server::start);
    for (Mesh.Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    // Longer than touchMs, and past the time in which the servers count as just started.
    TimeUnit.MILLISECONDS.sleep(5000);
    Server.thread(() -> drive(daemons));
    TimeUnit.MILLISECONDS.sleep(LEAVES_AFTER_MILLISECONDS);

    Server leaving = servers.get(0);
    long lastArrival = Long.MAX_VALUE;
    if (Mesh.hasTrouble()) {
      if (!leaving.drain()) {
        throw new IllegalStateException("leaving was not acknowledged");
      }
      lastArrival = mesh.now() + DRAIN_MILLISECONDS;
      mesh.record("%s: its leaving is acknowledged", leaving.identifier);
    }
    TimeUnit.MILLISECONDS.sleep(DRAIN_MILLISECONDS + EXITS_LATER_MILLISECONDS);
    if (Mesh.hasTrouble()) {
      leaving.deregister();
      leaving.close();
      mesh.record("%s: has exited", leaving.identifier);
    }
    isOver = true;
    TimeUnit.MILLISECONDS.sleep(TIMEOUT_MILLISECONDS + 500);

    long limit = lastArrival;
    long late = arrivals.values().stream().filter(arrival -> arrival > limit).count();
    mesh.record(
        "%d requests answered with 200, %d refused with 503, %d neither",
        answered.get(), refused.get(), lost.get());
    mesh.record("%d requests reached the server later than drainMs after the ack", late);
    return late > 0;
  }

  private Server server(String identifier, String service, Mesh.Daemon daemon) throws Exception {
    boolean isLeaving = identifier.equals("i-one-1");
    return mesh.closeAtEnd(
        new Server(mesh, identifier, service, "v1", SLOTS, WORK_MILLISECONDS, daemon) {
          @Override
          protected void arrived(Request request) {
            if (isLeaving) {
              arrivals.put(request.identifier(), mesh.now());
            }
            super.arrived(request);
          }
        });
  }

  private void drive(List<Mesh.Daemon> daemons) {
    for (int number = 0; !isOver; number++) {
      Mesh.Daemon entry = daemons.get(number % daemons.size());
      String identifier = "book-" + number;
      Server.thread(() -> book(entry, identifier));
      Server.sleep(1000 / REQUESTS_PER_SECOND);
    }
  }

  private void book(Mesh.Daemon entry, String identifier) {
    try (Client client = new Client(entry.callers, TIMEOUT_MILLISECONDS + 1000)) {
      client.send(
          Client.head("POST", "/book/x", identifier, TIMEOUT_MILLISECONDS)
              + "Content-Length: 4\r\n\r\nbody");
      mesh.record("client: %s is sent", identifier);
      int status = client.read().status();
      (status == 200 ? answered : status == 503 ? refused : lost).incrementAndGet();
      mesh.record("client: %s is answered %d", identifier, status);
    } catch (Exception e) {
      lost.incrementAndGet();
      mesh.record("client: %s has no answer: %s", identifier, e);
    }
  }
}
