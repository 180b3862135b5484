package org.parsleycart.daemon.call;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** An upstream on a plain socket that answers each request with bytes chosen by the test. */
final class ScriptedUpstream implements AutoCloseable {
  private final ServerSocket server;
  private final AtomicInteger requests = new AtomicInteger();
  private final List<String> heads = new CopyOnWriteArrayList<>();
  private volatile Function<String, String> response = path -> ok("fine");
  private volatile boolean closesAfterResponse;

  ScriptedUpstream() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::accept, "scripted-upstream");
    thread.setDaemon(true);
    thread.start();
  }

  static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void respondWith(String bytes, boolean closeAfterResponse) {
    response = path -> bytes;
    closesAfterResponse = closeAfterResponse;
  }

  /** Responds to each request with its own path. */
  void respondWithPath() {
    response = ScriptedUpstream::ok;
    closesAfterResponse = false;
  }

  int requests() {
    return requests.get();
  }

  /** Returns the head of the last request in lower case. */
  String lastHead() {
    return heads.get(heads.size() - 1);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread thread = new Thread(() -> serve(socket), "scripted-connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      boolean isOpen = true;
      while (isOpen) {
        isOpen = serveOne(socket, reader);
      }
    } catch (IOException e) {
      // The other side closed the connection.
    }
  }

  private boolean serveOne(Socket socket, BufferedReader reader) throws IOException {
    StringBuilder head = new StringBuilder();
    int length = 0;
    String line = reader.readLine();
    String path = line == null ? "" : line.split(" ", 3)[1];
    while (line != null && !line.isEmpty()) {
      String lowerCase = line.toLowerCase(Locale.ROOT);
      head.append(lowerCase).append('\n');
      if (lowerCase.startsWith("content-length:")) {
        length = Integer.parseInt(lowerCase.substring("content-length:".length()).trim());
      }
      line = reader.readLine();
    }
    if (line == null) {
      return false;
    }
    for (int index = 0; index < length; index++) {
      if (reader.read() < 0) {
        return false;
      }
    }
    heads.add(head.toString());
    requests.incrementAndGet();
    socket.getOutputStream().write(response.apply(path).getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return !closesAfterResponse;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
