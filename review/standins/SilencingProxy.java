package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy whose open connections can go silent for good, without a reset. */
final class SilencingProxy {
  private final ServerSocket listener;
  private final String target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  /** A connection through the proxy. */
  private static final class Link {
    private volatile boolean isSilent;
  }

  SilencingProxy(String target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Server.thread(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Silences the open connections and returns their number. New connections work. */
  int silence() {
    links.forEach(link -> link.isSilent = true);
    int count = links.size();
    links.clear();
    return count;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        Socket server = new Http.Connection(target).socket;
        client.setTcpNoDelay(true);
        Link link = new Link();
        links.add(link);
        Server.thread(() -> copy(client, server, link));
        Server.thread(() -> copy(server, client, link));
      } catch (IOException e) {
        // The client sees that its connection ends.
      }
    }
  }

  private void copy(Socket from, Socket to, Link link) {
    byte[] buffer = new byte[16384];
    try {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      int count = input.read(buffer);
      while (count >= 0) {
        if (!link.isSilent) {
          output.write(buffer, 0, count);
        }
        count = input.read(buffer);
      }
    } catch (IOException e) {
      // The connection has ended.
    }
    links.remove(link);
    if (!link.isSilent) {
      closeQuietly(from);
      closeQuietly(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }
}
