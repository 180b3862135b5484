package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Optional;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.OutgoingMessage;
import org.xnio.IoUtils;

/** Sends and receives messages as datagrams. Not safe for use by several threads. */
public final class DatagramLink implements AutoCloseable {
  private static final int MAXIMUM_DATAGRAM_BYTES = 16 * 1024;

  private final DatagramChannel channel;
  private final Selector selector;
  private final EnvelopeCodec codec;
  private final ControlTrafficCounters counters;
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAXIMUM_DATAGRAM_BYTES);

  // -- construction

  private DatagramLink(
      DatagramChannel channel,
      Selector selector,
      EnvelopeCodec codec,
      ControlTrafficCounters counters) {
    this.channel = requireNonNull(channel, "channel is null");
    this.selector = requireNonNull(selector, "selector is null");
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
    DatagramChannel channel = DatagramChannel.open();
    try {
      channel.bind(address);
      channel.configureBlocking(false);
      Selector selector = Selector.open();
      channel.register(selector, SelectionKey.OP_READ);
      return new DatagramLink(channel, selector, codec, counters);
    } catch (IOException | RuntimeException e) {
      IoUtils.safeClose(channel);
      throw e;
    }
  }

  // -- operations

  /** Sends a message. A message that cannot be sent is counted and dropped. */
  public void send(OutgoingMessage outgoing) {
    requireNonNull(outgoing, "outgoing is null");
    Optional<InetSocketAddress> target = Addresses.parseTarget(outgoing.target());
    if (target.isEmpty()) {
      counters.recordRejected();
      return;
    }
    byte[] bytes = codec.encode(outgoing.message());
    try {
      boolean isSent = channel.send(ByteBuffer.wrap(bytes), target.get()) == bytes.length;
      if (isSent) {
        counters.recordSent(bytes.length);
      } else {
        counters.recordRejected();
      }
    } catch (IOException e) {
      counters.recordRejected();
    }
  }

  /**
   * Waits up to the given time for a message; datagrams that cannot be decoded are counted and
   * dropped, with an empty result.
   */
  public Optional<ControlMessage> receive(int timeoutMilliseconds) {
    try {
      int readyChannels = selector.select(ready -> {}, Math.max(1, timeoutMilliseconds));
      buffer.clear();
      if (readyChannels == 0 || channel.receive(buffer) == null) {
        return Optional.empty();
      }
    } catch (ClosedSelectorException e) {
      return Optional.empty(); // the link was closed meanwhile
    } catch (IOException e) {
      counters.recordRejected();
      return Optional.empty();
    }
    buffer.flip();
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    counters.recordReceived(bytes.length);
    Optional<ControlMessage> message = codec.decode(bytes).toJavaOptional();
    if (message.isEmpty()) {
      counters.recordRejected();
    }
    return message;
  }

  @Override
  public void close() {
    IoUtils.safeClose(selector);
    IoUtils.safeClose(channel);
  }
}
