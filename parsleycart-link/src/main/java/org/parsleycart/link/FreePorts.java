package org.parsleycart.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds ports on loopback for trials and tests. */
public final class FreePorts {
  private FreePorts() {}

  /**
   * Returns ports that nothing listened on a moment ago, all different.
   *
   * @param count how many
   * @throws IOException when there are not so many
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
