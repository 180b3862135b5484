package org.parsleycart.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on the loopback interface for benchmarks and tests. */
public final class FreePorts {
  private FreePorts() {}

  /**
   * Returns distinct ports that were free at the time of the call.
   *
   * @param count the number of ports
   * @throws IOException if there are not enough free ports
   */
  public static List<Integer> find(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int index = 0; index < count; index++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }
}
