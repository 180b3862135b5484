package org.parsleycart.daemon.call;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * An upstream that ends, like a process that crashes, when it begins to run certain requests: its
 * port closes and all its connections are reset. It answers all others.
 */
final class MortalUpstream implements AutoCloseable {
  private static final int BACKLOG = 256;

  private final Predicate<WireMessage> isDeadly;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private ServerSocket server;
  private int lives;

  MortalUpstream(Predicate<WireMessage> isDeadly) throws IOException {
    this.isDeadly = isDeadly;
    live();
  }

  // -- life

  /** Starts again, at another address, if it has ended. */
  synchronized void restart() throws IOException {
    if (server.isClosed()) {
      live();
    }
  }

  private void live() throws IOException {
    lives++;
    server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    ServerSocket current = server;
    start(() -> accept(current));
  }

  private synchronized void end() throws IOException {
    server.close();
    for (Socket socket : connections) {
      SocketUpstream.reset(socket);
    }
    connections.clear();
  }

  @Override
  public synchronized void close() throws IOException {
    end();
  }

  // -- queries

  synchronized String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns how often it has ended. */
  synchronized int ends() {
    return server.isClosed() ? lives : lives - 1;
  }

  /** Returns which of its lives this is, the first or a later one. */
  synchronized int life() {
    return lives;
  }

  // -- connections

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "mortal-upstream");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket listener) {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        connections.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (true) {
        WireMessage request = WireMessage.readRequest(input);
        if (isDeadly.test(request)) {
          end();
          return;
        }
        SocketUpstream.write(
            socket,
            "HTTP/1.1 200 OK\r\nParsleycart-Response-Stamp: s\r\nParsleycart-Attempt-Id: "
                + request.header("Parsleycart-Attempt-Id").orElse("")
                + "\r\nContent-Length: 4\r\n\r\nfine");
      }
    } catch (IOException e) {
      // The daemon has closed the connection, or this upstream has ended.
    } finally {
      connections.remove(socket);
    }
  }
}
