package org.parsleycart.daemon.call;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
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
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private volatile boolean isRecording;
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

  /** Records the bytes that arrive on connections accepted from now on. */
  void startRecording() {
    isRecording = true;
  }

  /** Returns the recorded bytes of all connections, each as one character. */
  String received() {
    return received.toString(StandardCharsets.ISO_8859_1);
  }

  /** Forgets the recorded bytes. */
  void forgetReceived() {
    received.reset();
  }

  /** Writes text as bytes. */
  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Writes text as bytes, each of them alone. */
  static void writeInParts(Socket socket, String text) throws IOException {
    for (byte each : text.getBytes(StandardCharsets.ISO_8859_1)) {
      socket.getOutputStream().write(each);
    }
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
      InputStream plain = new BufferedInputStream(socket.getInputStream());
      InputStream input = isRecording ? recording(plain) : plain;
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

  /** Returns a stream that records what is read from it. */
  private InputStream recording(InputStream input) {
    return new FilterInputStream(input) {
      @Override
      public int read() throws IOException {
        int next = super.read();
        if (next >= 0) {
          received.write(next);
        }
        return next;
      }

      @Override
      public int read(byte[] target, int offset, int length) throws IOException {
        int count = super.read(target, offset, length);
        received.write(target, offset, Math.max(0, count));
        return count;
      }
    };
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
