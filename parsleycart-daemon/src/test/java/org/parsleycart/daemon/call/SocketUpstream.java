package org.parsleycart.daemon.call;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream on a plain socket. The test writes the bytes of each answer. */
final class SocketUpstream implements AutoCloseable {
  private static final int BACKLOG = 200;

  private final ServerSocket server;
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();
  private volatile Script script;

  /** Answers the requests of a connection. */
  @FunctionalInterface
  interface Script {
    /** Writes the answer to a request; returns whether the connection is kept. */
    boolean answer(WireMessage request, Socket socket) throws IOException;
  }

  SocketUpstream(Script script) throws IOException {
    this.script = script;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "socket-upstream");
    thread.setDaemon(true);
    thread.start();
  }

  // -- control

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void setScript(Script newScript) {
    script = newScript;
  }

  /** Returns the number of requests that have arrived. */
  int requests() {
    return requests.get();
  }

  /** Returns the number of connections that have been accepted. */
  int connections() {
    return connections.get();
  }

  /** Writes text as bytes. */
  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Resets a connection. */
  static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  // -- connections

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      boolean isKept = true;
      while (isKept) {
        WireMessage request = WireMessage.readRequest(input);
        requests.incrementAndGet();
        isKept = script.answer(request, socket);
      }
    } catch (IOException e) {
      // The daemon has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
