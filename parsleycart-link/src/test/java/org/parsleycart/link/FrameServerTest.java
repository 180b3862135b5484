package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.EvidenceRequest;

/** Guards against peers that connect to the control port and keep other daemons from an answer. */
class FrameServerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int SILENT_PEERS = 200;
  private static final EnvelopeCodec CODEC =
      new EnvelopeCodec(PeerKeys.of(List.of("test-key-0123456789")));

  private final List<Socket> peers = new ArrayList<>();
  private final ControlTrafficCounters counters = new ControlTrafficCounters();
  private InetSocketAddress address;
  private FrameServer server;

  @BeforeEach
  void start() throws IOException {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.find(1).get(0));
    server = FrameServer.open(address, CODEC, counters, request -> request, (thread, cause) -> {});
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket peer : peers) {
      peer.close();
    }
    server.close();
  }

  private void connect(int count) throws IOException {
    for (int peer = 0; peer < count; peer++) {
      peers.add(new Socket(address.getAddress(), address.getPort()));
    }
  }

  private Either<LinkError, ControlMessage> ask() {
    return new FrameClient(CODEC, counters)
        .send("127.0.0.1:" + address.getPort(), new EvidenceRequest("ledger"), TIMEOUT);
  }

  @Test
  void shouldAnswerWhenNobodyElseIsConnected() {
    assertThat(ask().get()).isEqualTo(new EvidenceRequest("ledger"));
  }

  @Test
  void shouldAnswerWhenManyPeersAreSilent() throws IOException {
    connect(SILENT_PEERS);

    assertThat(ask().get()).isEqualTo(new EvidenceRequest("ledger"));
  }

  @Test
  void shouldAnswerAfterPeersHaveLeft() throws IOException {
    connect(SILENT_PEERS);
    for (Socket peer : peers) {
      peer.close();
    }

    assertThat(ask().get()).isEqualTo(new EvidenceRequest("ledger"));
  }
}
