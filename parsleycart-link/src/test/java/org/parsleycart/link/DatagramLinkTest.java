package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.Announcement;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.message.OutgoingMessage;

class DatagramLinkTest {
  private static final int LONG_WAIT_MILLISECONDS = 10_000;
  private static final ControlMessage MESSAGE =
      new Announcement(
          new Gossip(
              "10.0.0.1:7402",
              new ConfigurationHead(7, "0123456789abcdef"),
              Optional.empty(),
              List.of(),
              List.of(),
              List.of()));

  private final ControlTrafficCounters counters = new ControlTrafficCounters();
  private InetSocketAddress address;
  private DatagramLink link;

  @BeforeEach
  void open() throws IOException {
    int port = FreePorts.find(1).get(0);
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    link = DatagramLink.open(address, EnvelopeCodecTest.CODEC, counters);
  }

  @AfterEach
  void close() {
    link.close();
  }

  private void sendToItself() {
    link.send(new OutgoingMessage(Addresses.format(address), MESSAGE));
  }

  @Test
  void shouldReceiveMessagesInTheirOrderWhenSeveralWait() {
    sendToItself();
    sendToItself();

    assertThat(link.receive(LONG_WAIT_MILLISECONDS)).contains(MESSAGE);
    assertThat(link.receive(LONG_WAIT_MILLISECONDS)).contains(MESSAGE);
    assertThat(counters.sentMessages()).isEqualTo(2);
    assertThat(counters.receivedMessages()).isEqualTo(2);
  }

  @Test
  void shouldReturnNothingWhenNoMessageArrives() {
    assertThat(link.receive(1)).isEmpty();
    assertThat(counters.rejectedMessages()).isZero();
  }

  @Test
  void shouldCountAndDropDatagramWhenItCannotBeDecoded() throws IOException {
    try (DatagramSocket stranger = new DatagramSocket()) {
      stranger.send(new DatagramPacket(new byte[] {1, 2, 3}, 3, address));
    }

    assertThat(link.receive(LONG_WAIT_MILLISECONDS)).isEmpty();
    assertThat(counters.rejectedMessages()).isEqualTo(1);
  }

  @Test
  void shouldCountAndDropMessageWhenTargetIsNoAddress() {
    link.send(new OutgoingMessage("nowhere", MESSAGE));

    assertThat(counters.rejectedMessages()).isEqualTo(1);
  }

  @Test
  void shouldEndWaitWhenClosed() throws InterruptedException, ExecutionException, TimeoutException {
    CompletableFuture<Optional<ControlMessage>> received =
        CompletableFuture.supplyAsync(() -> link.receive(Integer.MAX_VALUE));

    link.close();

    assertThat(received.get(LONG_WAIT_MILLISECONDS, TimeUnit.MILLISECONDS)).isEmpty();
  }
}
