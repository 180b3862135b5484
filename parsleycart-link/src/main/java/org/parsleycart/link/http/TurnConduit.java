package org.parsleycart.link.http;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds what is read from a connection each time it becomes readable.
 *
 * <p>Whoever reads a body, parses pipelined requests or drains what nobody wants does so until a
 * read returns nothing. While the other side sends without a pause, that would keep the thread from
 * all other connections. Here a read returns nothing once the turn is used up. The next turn begins
 * when the selector reports the connection again, after every other connection that is ready.
 *
 * <p>Confined to the input/output thread of the connection, except that a worker thread may do a
 * blocking read.
 */
public final class TurnConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  private int bytesPerTurn;
  private int remaining;
  private volatile long totalBytes;
  private volatile long countedBytes;
  private volatile long countedLines;
  private boolean isCountingLines;
  private boolean isFailed;
  private ReadListener listener = (buffer, start, count) -> {};

  /** Receives what is read from a connection, before anything else does. */
  @FunctionalInterface
  public interface ReadListener {
    /**
     * Receives bytes.
     *
     * @param buffer the buffer, whose position is behind the bytes
     * @param start the index of the first byte
     * @param count the number of bytes, at least 1
     * @throws IOException if the connection is to fail
     */
    void bytesRead(ByteBuffer buffer, int start, int count) throws IOException;
  }

  // -- construction

  TurnConduit(ConduitStreamSourceChannel channel, int bytesPerTurn) {
    super(channel.getConduit());
    this.bytesPerTurn = bytesPerTurn;
    this.remaining = bytesPerTurn;
    setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
  }

  /**
   * Installs a conduit on a new connection.
   *
   * @param bytesPerTurn how much is read at most each time the connection becomes readable
   */
  public static TurnConduit install(StreamConnection connection, int bytesPerTurn) {
    ConduitStreamSourceChannel channel = connection.getSourceChannel();
    TurnConduit conduit = new TurnConduit(channel, bytesPerTurn);
    channel.setConduit(conduit);
    return conduit;
  }

  // -- turns

  /** Sets the bytes of each later turn, and of what is left of this one. */
  public void setBytesPerTurn(int newBytesPerTurn) {
    remaining += newBytesPerTurn - bytesPerTurn;
    bytesPerTurn = newBytesPerTurn;
  }

  /** Begins a turn outside the event loop, for a reader that waits by itself. */
  public void renewTurn() {
    remaining = bytesPerTurn;
  }

  /** Sets who receives what is read. */
  public void setReadListener(ReadListener newListener) {
    listener = requireNonNull(newListener, "newListener is null");
  }

  /** Lets every later read fail. */
  public void fail() {
    isFailed = true;
  }

  /** Returns the number of bytes read so far. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Starts or stops counting the ends of lines in what is read. */
  public void countLines(boolean isCounting) {
    isCountingLines = isCounting;
    countedBytes = 0;
    countedLines = 0;
  }

  /** Returns the bytes read while ends of lines have been counted. */
  public long countedBytes() {
    return countedBytes;
  }

  public long countedLines() {
    return countedLines;
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only one thread at a time reads.
  private void countLines(ByteBuffer target, int start, int count) {
    int lines = 0;
    for (int index = start; index < start + count; index++) {
      lines += target.get(index) == '\n' ? 1 : 0;
    }
    countedBytes += count;
    countedLines += lines;
  }

  // -- reading

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only one thread at a time reads.
  @Override
  public int read(ByteBuffer target) throws IOException {
    if (isFailed) {
      throw new IOException("connection closed: its client made no progress");
    }
    if (remaining <= 0) {
      return 0;
    }
    int start = target.position();
    int limit = target.limit();
    target.limit(Math.min(limit, start + remaining));
    int count;
    try {
      count = next.read(target);
    } finally {
      target.limit(limit);
    }
    remaining -= Math.max(0, count);
    totalBytes += Math.max(0, count);
    if (isCountingLines && count > 0) {
      countLines(target, start, count);
    }
    if (count > 0) {
      listener.bytesRead(target, start, count);
    }
    return count;
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    for (int index = offset; index < offset + length; index++) {
      if (targets[index].hasRemaining()) {
        return read(targets[index]);
      }
    }
    return 0;
  }

  @Override
  public long transferTo(long position, long count, FileChannel target) throws IOException {
    return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
  }

  @Override
  public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
      throws IOException {
    return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
  }

  // -- readiness

  @Override
  public void awaitReadable() throws IOException {
    next.awaitReadable();
    renewTurn();
  }

  @Override
  public void awaitReadable(long time, TimeUnit timeUnit) throws IOException {
    next.awaitReadable(time, timeUnit);
    renewTurn();
  }

  @Override
  public void setReadReadyHandler(ReadReadyHandler handler) {
    next.setReadReadyHandler(new TurnHandler(requireNonNull(handler, "handler is null")));
  }

  /** Begins a turn when the connection becomes readable. */
  private final class TurnHandler implements ReadReadyHandler {
    private final ReadReadyHandler handler;

    private TurnHandler(ReadReadyHandler handler) {
      this.handler = handler;
    }

    @Override
    public void readReady() {
      renewTurn();
      handler.readReady();
    }

    @Override
    public void forceTermination() {
      handler.forceTermination();
    }

    @Override
    public void terminated() {
      handler.terminated();
    }
  }
}
