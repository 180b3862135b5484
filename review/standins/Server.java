package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;

/** A server of the platform beside one daemon. It sends heartbeats and answers each request. */
final class Server {
  final Stage stage;
  final String id;
  final String service;
  final String version;
  final int slots;
  private final Stage.Daemon daemon;
  private final ServerSocket listener;
  private final Behaviour behaviour;
  private final long born = System.currentTimeMillis();
  private volatile boolean isBeating = true;
  private volatile String state = "ready";
  private int sequence;

  /** Makes the server reset the connection. */
  static final class ResetException extends IOException {
    private static final long serialVersionUID = 1;
  }

  /** Answers one request on a connection. */
  interface Behaviour {
    /** Reads the rest of the request, answers it, and returns whether the connection is kept. */
    boolean answer(Server server, Http.Message head, InputStream input, OutputStream output)
        throws IOException, InterruptedException;
  }

  Server(Stage stage, Stage.Daemon daemon, String id, int slots, Behaviour behaviour)
      throws IOException {
    this(stage, daemon, id, "v1", slots, behaviour);
  }

  Server(
      Stage stage,
      Stage.Daemon daemon,
      String id,
      String version,
      int slots,
      Behaviour behaviour)
      throws IOException {
    this.version = version;
    this.stage = stage;
    this.daemon = daemon;
    this.id = id;
    this.service = daemon.service;
    this.slots = slots;
    this.behaviour = behaviour;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    thread(this::accept);
    thread(this::sendHeartbeats);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void stopHeartbeats() {
    isBeating = false;
  }

  /** Sends a whole answer with a stamp. */
  void answer(Http.Message head, OutputStream output, int status, byte[] body) throws IOException {
    String text =
        "HTTP/1.1 "
            + status
            + " Answer\r\nParsleycart-Attempt-Id: "
            + head.header("Parsleycart-Attempt-Id").orElse("")
            + "\r\nParsleycart-Response-Stamp: "
            + id
            + "."
            + head.header("Parsleycart-Attempt-Id").orElse("")
            + "\r\nKeep-Alive: timeout=10\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    byte[] bytes = new byte[text.length() + body.length];
    System.arraycopy(Http.bytes(text), 0, bytes, 0, text.length());
    System.arraycopy(body, 0, bytes, text.length(), body.length);
    output.write(bytes);
    output.flush();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = socket.getOutputStream();
      boolean isKept = true;
      try {
        while (isKept) {
          Http.Message head = Http.readHead(input);
          isKept = behaviour.answer(this, head, input, output);
        }
      } catch (ResetException e) {
        socket.setSoLinger(true, 0);
      }
    } catch (IOException e) {
      // The daemon has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendHeartbeats() {
    while (isBeating) {
      deliver(nextHeartbeat());
      pause(1500);
    }
  }

  /** Returns the bytes of the next heartbeat. */
  synchronized byte[] nextHeartbeat() {
    sequence++;
    String body =
        """
        {"address":"%s","born":%d,"info":{"service":"%s","version":"%s","zone":"%s","slots":%d},
         "status":{"state":"%s","seq":%d,"coldLeftMs":0}}
        """
            .formatted(address(), born, service, version, daemon.zone, slots, state, sequence);
    return Http.request(
        "POST",
        "/parsleycart/Instances.Heartbeat/" + id,
        Map.of("Host", daemon.control, "Content-Type", "application/json"),
        Http.bytes(body));
  }

  /** Sends the bytes of a heartbeat and returns whether it was acknowledged. */
  boolean deliver(byte[] heartbeat) {
    try (Http.Connection connection = new Http.Connection(daemon.control)) {
      connection.send(heartbeat);
      return connection.receive(1000).status() == 200;
    } catch (IOException e) {
      stage.log("heartbeat of " + id + " failed: " + e.getMessage());
      return false;
    }
  }

  /** Reports from now on, and at once, that this server is draining. */
  void drain() {
    state = "draining";
    deliver(nextHeartbeat());
  }

  /** Deregisters this server, which goes on serving. */
  void deregister() throws IOException {
    String body = "{\"address\":\"%s\",\"born\":%d}".formatted(address(), born);
    try (Http.Connection connection = new Http.Connection(daemon.control)) {
      connection.send(
          Http.request(
              "POST",
              "/parsleycart/Instances.Deregister/" + id,
              Map.of("Host", daemon.control, "Content-Type", "application/json"),
              Http.bytes(body)));
      int status = connection.receive(1000).status();
      if (status != 200) {
        throw new IOException("the deregistration was answered " + status);
      }
    }
  }

  /** Ends the server: it accepts no more connections. */
  void close() throws IOException {
    isBeating = false;
    listener.close();
  }

  static void thread(Runnable task) {
    Thread thread = new Thread(null, task, "standin", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  static void pause(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
