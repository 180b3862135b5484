package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Accepts connections, and hands each over when its first bytes have arrived. A peer that sends
 * nothing holds no thread; when too many are silent, the one that is so for longest is closed.
 */
final class FrameAcceptor implements AutoCloseable {
  private static final int BACKLOG = 256;
  private static final int MAXIMUM_SILENT = 64;

  /** Peers that have sent something are handed over after each few new ones. */
  private static final int ACCEPTED_PER_TURN = 16;

  /** Accepting fails again at once while the process has no descriptors. */
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(10);

  private final ServerSocketChannel listener;
  private final Selector selector;
  private final Consumer<Socket> onReady;
  private final Runnable onRejected;
  private final Set<SocketChannel> silent = new LinkedHashSet<>();

  // -- construction

  private FrameAcceptor(
      ServerSocketChannel listener,
      Selector selector,
      Consumer<Socket> onReady,
      Runnable onRejected) {
    this.listener = listener;
    this.selector = selector;
    this.onReady = requireNonNull(onReady, "onReady is null");
    this.onRejected = requireNonNull(onRejected, "onRejected is null");
  }

  /**
   * Listens at an address.
   *
   * @param onReady receives each connection whose first bytes have arrived, in blocking mode
   * @param onRejected runs when a connection is closed instead
   * @throws IOException if the address cannot be used
   */
  static FrameAcceptor open(
      InetSocketAddress address, Consumer<Socket> onReady, Runnable onRejected) throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    listener.bind(address, BACKLOG);
    listener.configureBlocking(false);
    Selector selector = Selector.open();
    listener.register(selector, SelectionKey.OP_ACCEPT);
    return new FrameAcceptor(listener, selector, onReady, onRejected);
  }

  // -- operation

  /** Accepts until the acceptor is closed. */
  void run() {
    try {
      while (selector.isOpen()) {
        runTurn();
      }
    } catch (ClosedSelectorException e) {
      // The acceptor has been closed.
    } finally {
      silent.forEach(FrameAcceptor::closeQuietly);
    }
  }

  private void runTurn() {
    try {
      selector.select();
      handOver(takeReady());
      acceptNew();
    } catch (ClosedChannelException e) {
      // The acceptor is being closed.
    } catch (IOException e) {
      onRejected.run();
      LockSupport.parkNanos(PAUSE_AFTER_FAILURE.toNanos());
    }
  }

  /** Returns the connections on which something has arrived, no longer registered. */
  private List<SocketChannel> takeReady() throws IOException {
    List<SelectionKey> keys =
        selector.selectedKeys().stream()
            .filter(key -> key.channel() instanceof SocketChannel)
            .toList();
    selector.selectedKeys().clear();
    keys.forEach(SelectionKey::cancel);
    // A canceled key keeps its channel in non-blocking mode until the next selection.
    selector.selectNow();
    return keys.stream().map(key -> (SocketChannel) key.channel()).toList();
  }

  private void handOver(List<SocketChannel> ready) {
    for (SocketChannel channel : ready) {
      silent.remove(channel);
      try {
        channel.configureBlocking(true);
        onReady.accept(channel.socket());
      } catch (IOException e) {
        reject(channel);
      }
    }
  }

  private void acceptNew() throws IOException {
    for (int count = 0; count < ACCEPTED_PER_TURN; count++) {
      SocketChannel channel = listener.accept();
      if (channel == null) {
        return;
      }
      closeLongestSilent();
      silent.add(channel);
      channel.configureBlocking(false);
      channel.register(selector, SelectionKey.OP_READ);
    }
  }

  private void closeLongestSilent() {
    if (silent.size() >= MAXIMUM_SILENT) {
      Iterator<SocketChannel> oldestFirst = silent.iterator();
      SocketChannel longest = oldestFirst.next();
      oldestFirst.remove();
      reject(longest);
    }
  }

  private void reject(SocketChannel channel) {
    onRejected.run();
    closeQuietly(channel);
  }

  private static void closeQuietly(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // The connection is discarded in any case.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    selector.close();
  }
}
