package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.PeerKeys;

/**
 * Guards against a daemon that keeps the connection of each call that was given up in its queue.
 */
class QueuedCallDisconnectTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}]
      contracts: [{name: read, kind: interactive-read, deadline: 60s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: read, pathPrefix: /read, service: ledger, contract: read}]
      """;

  /** More than the slots of the upstream, so that some of the calls wait. */
  private static final int CALLS = 12;

  private static final int SOCKET_TIMEOUT_MILLISECONDS = 10_000;

  private final CallSigner signer = new CallSigner(PeerKeys.of(List.of("test-key-0123456789")));

  /** Sends a call as another daemon forwards it. */
  private Socket forward(TestMesh.Member member, String identifier) throws IOException {
    String[] address = member.daemons().split(":", 2);
    Socket socket = new Socket(address[0], Integer.parseInt(address[1]));
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLISECONDS);
    SocketUpstream.write(
        socket,
        "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Parsleycart-Request-Identifier: "
            + identifier
            + "\r\nX-Parsleycart-Upstream: u0\r\nX-Parsleycart-Route: read\r\n"
            + "X-Parsleycart-Deadline-Milliseconds: 60000\r\nX-Parsleycart-Signature: "
            + signer.sign(identifier, "u0", "read", Optional.empty())
            + "\r\n\r\n");
    return socket;
  }

  @Test
  void shouldCloseConnectionWhenForwardingDaemonGivesUpAWaitingCall() throws IOException {
    try (TestMesh mesh = TestMesh.start("abdali");
        SocketUpstream silent = new SocketUpstream((request, socket) -> true)) {
      mesh.apply(CONFIGURATION);
      mesh.announce(mesh.member(0), "u0", "ledger", "v1", silent.address());
      mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 1);
      List<Socket> sockets = new ArrayList<>();
      for (int call = 0; call < CALLS; call++) {
        sockets.add(forward(mesh.member(0), "q" + call));
      }
      mesh.await(() -> silent.requests() > 0);
      assertThat(silent.requests()).isLessThan(CALLS);

      // The last one leaves first, so that no slot becomes free for those that wait.
      for (int call = CALLS - 1; call >= 0; call--) {
        try (Socket socket = sockets.get(call)) {
          socket.shutdownOutput();

          assertThat(socket.getInputStream().read()).as("end of call %d", call).isEqualTo(-1);
        }
      }
    }
  }
}
