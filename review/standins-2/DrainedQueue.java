import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A server leaves while its daemon holds queued requests for it. */
final class DrainedQueue {
  private static final int DRAIN_MILLISECONDS = 2000;
  private static final int REQUESTS = 36;
  private static final int WORK_MILLISECONDS = 1500;
  private static final int TIMEOUT_MILLISECONDS = 6000;

  private DrainedQueue() {}

  public static void main(String[] arguments) {
    Mesh.play(arguments, DrainedQueue::play);
  }

  private static boolean play(Mesh mesh) throws Exception {
    mesh.configure("r1", Mesh.route("book", "/book/", "unsafe", TIMEOUT_MILLISECONDS, 4000));
    List<Mesh.Daemon> daemons =
        List.of(mesh.daemon("d1", "one"), mesh.daemon("d2", "one"), mesh.daemon("d3", "two"));
    Map<String, Long> arrivals = new ConcurrentHashMap<>();
    Server leaving =
        mesh.closeAtEnd(
            new Server(mesh, "i-leaving", "one", "v1", 6, WORK_MILLISECONDS, daemons.get(0)) {
              @Override
              protected void arrived(Request request) {
                arrivals.put(request.identifier(), mesh.now());
                super.arrived(request);
              }
            });
    Server staying =
        mesh.closeAtEnd(
            new Server(mesh, "i-staying", "one", "v1", 6, WORK_MILLISECONDS, daemons.get(1)));
    leaving.start();
    staying.start();
    for (Mesh.Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    // Longer than touchMs, and past the time in which the servers count as just started.
    TimeUnit.MILLISECONDS.sleep(5000);

    List<String> identifiers = new ArrayList<>();
    AtomicInteger answered = new AtomicInteger();
    CountDownLatch ended = new CountDownLatch(REQUESTS);
    for (int number = 0; number < REQUESTS; number++) {
      String identifier = "book-" + number;
      identifiers.add(identifier);
      Server.thread(() -> book(mesh, daemons.get(2), identifier, answered, ended));
    }
    TimeUnit.MILLISECONDS.sleep(300);
    long lastArrival = Long.MAX_VALUE;
    if (Mesh.hasTrouble()) {
      if (!leaving.drain()) {
        throw new IllegalStateException("leaving was not acknowledged");
      }
      lastArrival = mesh.now() + DRAIN_MILLISECONDS;
      mesh.record("i-leaving: its leaving is acknowledged");
      // A little longer than drainMs, as the pages say; then the server exits.
      TimeUnit.MILLISECONDS.sleep(DRAIN_MILLISECONDS + 1000);
      leaving.deregister();
      leaving.close();
      mesh.record("i-leaving: has exited");
    }
    ended.await(10, TimeUnit.SECONDS);

    long limit = lastArrival;
    long late = arrivals.values().stream().filter(arrival -> arrival > limit).count();
    mesh.record("%d of %d requests answered with 200", answered.get(), REQUESTS);
    mesh.record("%d requests reached i-leaving later than drainMs after the ack", late);
    return late > 0;
  }

  private static void book(
      Mesh mesh,
      Mesh.Daemon entry,
      String identifier,
      AtomicInteger answered,
      CountDownLatch ended) {
    try (Client client = new Client(entry.callers, TIMEOUT_MILLISECONDS + 1000)) {
      client.send(
          Client.head("POST", "/book/x", identifier, TIMEOUT_MILLISECONDS)
              + "Content-Length: 4\r\n\r\nbody");
      mesh.record("client: %s is sent", identifier);
      Client.Answer answer = client.read();
      answered.addAndGet(answer.status() == 200 ? 1 : 0);
      mesh.record("client: %s is answered %d", identifier, answer.status());
    } catch (Exception e) {
      mesh.record("client: %s has no answer: %s", identifier, e);
    } finally {
      ended.countDown();
    }
  }
}
