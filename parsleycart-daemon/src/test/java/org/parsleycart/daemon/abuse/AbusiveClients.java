package org.parsleycart.daemon.abuse;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.parsleycart.link.Addresses;

/**
 * Clients that send an abusive load from one thread until they are closed. A connection that the
 * daemon closes is not opened again.
 */
final class AbusiveClients implements AutoCloseable {
  /** How much a client sends before its load counts as under way, if it is that long. */
  private static final long ESTABLISHED_BYTES = 64 * 1024;

  private static final int READ_BYTES = 64 * 1024;
  private static final long MAXIMUM_SECONDS_TO_ESTABLISH = 20;

  private final Selector selector = Selector.open();
  private final List<SocketChannel> channels = new ArrayList<>();
  private final CountDownLatch established;
  private final Thread thread = new Thread(this::run, "abusive-clients");
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);
  private volatile boolean isClosed;

  /** The progress of one client. */
  private static final class Client {
    private final AbusiveLoad load;
    private final byte[] part;
    private ByteBuffer pending;
    private int repetitionsLeft;
    private long sent;
    private long received;
    private boolean isEstablished;

    private Client(AbusiveLoad load, String start, String part) {
      this.load = load;
      this.part = part.getBytes(StandardCharsets.ISO_8859_1);
      this.pending = ByteBuffer.wrap(start.getBytes(StandardCharsets.ISO_8859_1));
      this.repetitionsLeft = load.repetitions();
    }

    /** Returns false when everything has been sent. */
    private boolean write(SocketChannel channel) throws IOException {
      if (!pending.hasRemaining()) {
        int perWrite = Math.max(1, load.bytesPerWrite() / Math.max(1, part.length));
        int count = Math.min(repetitionsLeft, perWrite);
        ByteBuffer next = ByteBuffer.allocate(count * part.length);
        for (int index = 0; index < count; index++) {
          next.put(part);
        }
        repetitionsLeft -= count;
        pending = next.flip();
      }
      sent += channel.write(pending);
      return pending.hasRemaining() || repetitionsLeft > 0;
    }
  }

  AbusiveClients(AbusiveLoad load, int count, String address, String path, String largePath)
      throws IOException {
    established = new CountDownLatch(count);
    InetSocketAddress target = Addresses.parse(address).orElseThrow();
    for (int index = 0; index < count; index++) {
      SocketChannel channel = SocketChannel.open(target);
      channels.add(channel);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      channel.configureBlocking(false);
      boolean reads = load.reading() != AbusiveLoad.Reading.NONE;
      channel.register(
          selector,
          SelectionKey.OP_WRITE | (reads ? SelectionKey.OP_READ : 0),
          new Client(load, load.startFor(path, largePath), load.partFor(path, largePath)));
    }
    thread.setDaemon(true);
    thread.start();
  }

  /** Waits until each client has sent a first part of its load or was refused. */
  void awaitEstablished() throws InterruptedException {
    if (!established.await(MAXIMUM_SECONDS_TO_ESTABLISH, TimeUnit.SECONDS)) {
      throw new IllegalStateException(established.getCount() + " clients did not get under way");
    }
  }

  // -- sending

  private void run() {
    while (!isClosed) {
      try {
        selector.select();
      } catch (IOException e) {
        return;
      }
      selector.selectedKeys().forEach(this::advance);
      selector.selectedKeys().clear();
    }
  }

  private void advance(SelectionKey key) {
    Client client = (Client) key.attachment();
    SocketChannel channel = (SocketChannel) key.channel();
    boolean isOver = false;
    try {
      if (key.isReadable()) {
        isOver = !read(key, client, channel);
      }
      if (!isOver && key.isWritable() && !client.write(channel)) {
        key.interestOpsAnd(~SelectionKey.OP_WRITE);
        establish(client);
      }
    } catch (IOException e) {
      isOver = true;
    }
    if (isOver) {
      key.cancel();
    }
    if (isOver || client.sent >= ESTABLISHED_BYTES) {
      establish(client);
    }
  }

  /** Returns false at the end of the stream. */
  private boolean read(SelectionKey key, Client client, SocketChannel channel) throws IOException {
    int count = channel.read(readBuffer.clear());
    client.received += Math.max(0, count);
    if (client.received >= client.load.reading().bytes()) {
      key.interestOpsAnd(~SelectionKey.OP_READ);
    }
    return count >= 0;
  }

  private void establish(Client client) {
    if (!client.isEstablished) {
      client.isEstablished = true;
      established.countDown();
    }
  }

  @Override
  public void close() throws IOException {
    isClosed = true;
    selector.wakeup();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.close();
    for (SocketChannel channel : channels) {
      channel.close();
    }
  }
}
