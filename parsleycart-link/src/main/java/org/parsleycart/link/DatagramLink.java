package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Optional;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.OutgoingMessage;

/** Sends and receives messages as datagrams. Not safe for use by several threads. */
public final class DatagramLink implements AutoCloseable {
  private static final int MAXIMUM_DATAGRAM_BYTES = 16 * 1024;

  private final DatagramSocket socket;
  private final EnvelopeCodec codec;
  private final ControlTrafficCounters counters;
  private final byte[] buffer = new byte[MAXIMUM_DATAGRAM_BYTES];

  // -- construction

  private DatagramLink(
      DatagramSocket socket, EnvelopeCodec codec, ControlTrafficCounters counters) {
    this.socket = socket;
    this.codec = requireNonNull(codec, "codec is null");
    this.counters = requireNonNull(counters, "counters is null");
  }

  /**
   * Opens a link.
   *
   * @param address the address to receive on
   * @throws IOException when the address cannot be used
   */
  public static DatagramLink open(
      InetSocketAddress address, EnvelopeCodec codec, ControlTrafficCounters counters)
      throws IOException {
    return new DatagramLink(new DatagramSocket(address), codec, counters);
  }

  // -- operations

  /** Sends a message. A message that cannot be sent is counted and dropped. */
  public void send(OutgoingMessage outgoing) {
    requireNonNull(outgoing, "outgoing is null");
    Optional<InetSocketAddress> target = Addresses.parse(outgoing.target());
    if (target.isEmpty()) {
      counters.recordRejected();
      return;
    }
    byte[] bytes = codec.encode(outgoing.message());
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, target.get()));
      counters.recordSent(bytes.length);
    } catch (IOException e) {
      counters.recordRejected();
    }
  }

  /**
   * Waits up to the given time for a message; datagrams that cannot be decoded are counted and
   * dropped, with an empty result.
   */
  public Optional<ControlMessage> receive(int timeoutMilliseconds) {
    DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
    try {
      socket.setSoTimeout(Math.max(1, timeoutMilliseconds));
      socket.receive(packet);
    } catch (SocketTimeoutException e) {
      return Optional.empty();
    } catch (IOException e) {
      counters.recordRejected();
      return Optional.empty();
    }
    counters.recordReceived(packet.getLength());
    Optional<ControlMessage> message =
        codec.decode(Arrays.copyOf(buffer, packet.getLength())).toJavaOptional();
    if (message.isEmpty()) {
      counters.recordRejected();
    }
    return message;
  }

  @Override
  public void close() {
    socket.close();
  }
}
