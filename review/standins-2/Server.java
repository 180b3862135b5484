import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A server beside a daemon. It runs as many requests at once as it has slots, queues a few more,
 * sends heartbeats, and records each request that reaches it.
 */
class Server implements AutoCloseable {
  private static final int HEARTBEAT_MILLISECONDS = 870;
  private static final int KEEP_ALIVE_SECONDS = 10;

  final String identifier;
  final String service;
  final String version;
  final String address;
  final long born = System.currentTimeMillis();
  protected final Mesh mesh;
  protected final int slots;
  private final String control;
  private final ServerSocket listener;
  private final Semaphore free;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean isEnded;
  private volatile boolean isBeating = true;
  volatile String state = "ready";
  volatile long workMilliseconds;
  private long sequence;

  /** A request as the server reads it. */
  record Request(String line, Map<String, String> headers, byte[] body) {
    String identifier() {
      return headers.getOrDefault("parsleycart-attempt-id", "");
    }
  }

  // -- construction

  Server(
      Mesh mesh,
      String identifier,
      String service,
      String version,
      int slots,
      long workMilliseconds,
      Mesh.Daemon daemon)
      throws IOException {
    this.mesh = mesh;
    this.identifier = identifier;
    this.service = service;
    this.version = version;
    this.slots = slots;
    this.workMilliseconds = workMilliseconds;
    this.control = daemon.operators;
    this.free = new Semaphore(slots, true);
    this.listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    this.address = "127.0.0.1:" + listener.getLocalPort();
  }

  void start() {
    thread(this::accept);
    thread(this::beat);
  }

  static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  // -- heartbeats

  private void beat() {
    while (!isEnded && isBeating) {
      heartbeat();
      sleep(HEARTBEAT_MILLISECONDS);
    }
  }

  /** Sends one heartbeat. Returns whether it was acknowledged. */
  synchronized boolean heartbeat() {
    return send(nextHeartbeat());
  }

  /** Returns the body of the next heartbeat. */
  synchronized String nextHeartbeat() {
    return ("{\"address\":\"%s\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"%s\","
                + "\"zone\":\"%s\",\"slots\":%d},"
                + "\"status\":{\"state\":\"%s\",\"seq\":%d,\"coldLeftMs\":0}}")
            .formatted(address, born, service, version, Mesh.ZONE, slots, state, ++sequence);
  }

  /** Delivers the body of a heartbeat. Returns whether it was acknowledged. */
  boolean send(String body) {
    try {
      return Client.post(control, "/parsleycart/Instances.Heartbeat/" + identifier, body).status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Reports that the server leaves. Returns whether that was acknowledged. */
  boolean drain() {
    state = "draining";
    return heartbeat();
  }

  /** Deregisters the server. Returns whether that was acknowledged. */
  synchronized boolean deregister() {
    isBeating = false;
    try {
      return Client.post(control, "/parsleycart/Instances.Deregister/" + identifier, "{}").status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  // -- requests

  private void accept() {
    while (!isEnded) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (!isEnded) {
        String line = Client.Messages.line(input);
        Map<String, String> headers = Client.Messages.headers(input);
        handle(socket, input, line, headers);
      }
    } catch (IOException | RuntimeException e) {
      if (!(e instanceof java.io.EOFException) && !isEnded) {
        mesh.record("%s: connection ended: %s", identifier, e);
      }
    } finally {
      connections.remove(socket);
    }
  }

  /** Reads the body of a request, runs it and answers it. */
  protected void handle(Socket socket, InputStream input, String line, Map<String, String> headers)
      throws IOException {
    Request request =
        new Request(line, headers, Client.Messages.body(input, headers, false));
    if (!headers.getOrDefault("parsleycart-expect-instance", identifier).equals(identifier)) {
      mesh.record("%s: %s answered 421", identifier, request.identifier());
      answer(socket, 421, request.identifier(), "Parsleycart-Not-Run: 1\r\n", "");
      return;
    }
    arrived(request);
    free.acquireUninterruptibly();
    try {
      sleep(workMilliseconds);
      respond(socket, request);
    } finally {
      free.release();
    }
  }

  /** Called when a request has reached the server, which then runs or queues it. */
  protected void arrived(Request request) {
    mesh.record("%s: got %s", identifier, request.identifier());
  }

  protected void respond(Socket socket, Request request) throws IOException {
    answer(socket, 200, request.identifier(), "", "answer to " + request.identifier());
  }

  protected void answer(
      Socket socket, int status, String requestIdentifier, String headers, String body)
      throws IOException {
    String text =
        "HTTP/1.1 "
            + status
            + " Status\r\nParsleycart-Attempt-Id: "
            + requestIdentifier
            + "\r\nParsleycart-Response-Stamp: stamp."
            + requestIdentifier
            + "\r\nKeep-Alive: timeout="
            + KEEP_ALIVE_SECONDS
            + "\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  static void sleep(long milliseconds) {
    try {
      TimeUnit.MILLISECONDS.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the server; its connections are closed. */
  @Override
  public void close() throws IOException {
    isEnded = true;
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
