package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Copies a body from one channel to another through a single buffer. Reads are suspended while the
 * sink accepts no data. The connection of the source bounds what is read in one turn. Confined to
 * one input/output thread.
 */
final class BodyTransfer {
  private final StreamSourceChannel source;
  private final StreamSinkChannel sink;
  private final ByteBufferPool pool;
  private final Runnable onRead;
  private final Listener listener;
  private Optional<PooledByteBuffer> pooledBuffer = Optional.empty();
  private Optional<IOException> sourceFailure = Optional.empty();
  private boolean isSourceAtEnd;
  private boolean isEnded;

  /** Receives the end of a transfer. One of its methods is called, once. */
  interface Listener {
    /** Called when the whole body has been written and flushed. */
    void completed();

    /** Called when the body could not be read to its end. */
    void sourceFailed(IOException cause);

    /** Called when the body could not be written. */
    void sinkFailed(IOException cause);
  }

  // -- construction

  private BodyTransfer(
      StreamSourceChannel source,
      StreamSinkChannel sink,
      ByteBufferPool pool,
      Runnable onRead,
      Listener listener) {
    this.onRead = onRead;
    this.source = source;
    this.sink = sink;
    this.pool = pool;
    this.listener = listener;
  }

  /** Starts a transfer. The listener may be called before this method returns. */
  static void start(
      StreamSourceChannel source, StreamSinkChannel sink, ByteBufferPool pool, Listener listener) {
    start(source, sink, pool, () -> {}, listener);
  }

  /**
   * Starts a transfer. The listener may be called before this method returns.
   *
   * @param onRead runs whenever bytes were read from the source
   */
  static void start(
      StreamSourceChannel source,
      StreamSinkChannel sink,
      ByteBufferPool pool,
      Runnable onRead,
      Listener listener) {
    requireNonNull(source, "source is null");
    requireNonNull(sink, "sink is null");
    BodyTransfer transfer = new BodyTransfer(source, sink, pool, onRead, listener);
    ChannelListener<StreamSourceChannel> onReadable = ready -> transfer.run();
    ChannelListener<StreamSinkChannel> onWritable = ready -> transfer.run();
    source.getReadSetter().set(onReadable);
    sink.getWriteSetter().set(onWritable);
    transfer.run();
  }

  // -- copying

  private void run() {
    boolean isProgressing = !isEnded;
    while (isProgressing) {
      isProgressing = step() && !isEnded;
    }
  }

  /**
   * Makes at most one read and one write. Returns false when the transfer is over or when a channel
   * must become ready first.
   */
  private boolean step() {
    ByteBuffer buffer = buffer();
    if (!buffer.hasRemaining() && !isSourceAtEnd && !fill(buffer)) {
      return false;
    }
    if (!buffer.hasRemaining() && !isSourceAtEnd) {
      return true;
    }
    try {
      return buffer.hasRemaining() ? drain(buffer) : finish();
    } catch (IOException e) {
      end(() -> listener.sinkFailed(e));
      return false;
    }
  }

  /**
   * Reads until the buffer is full or nothing more is there. One read of a body in chunks returns
   * at most one chunk, and a write for each would cost far more than the read.
   */
  private boolean fill(ByteBuffer buffer) {
    if (sourceFailure.isPresent()) {
      end(() -> listener.sourceFailed(sourceFailure.get()));
      return false;
    }
    buffer.clear();
    int count = 0;
    try {
      do {
        count = source.read(buffer);
        if (count > 0) {
          onRead.run();
        }
      } while (count > 0 && buffer.hasRemaining());
    } catch (IOException e) {
      // What arrived before the failure is still passed on.
      sourceFailure = Optional.of(e);
    }
    buffer.flip();
    isSourceAtEnd = count < 0;
    if (count == 0 && !buffer.hasRemaining() && sourceFailure.isEmpty()) {
      releaseBuffer();
      sink.suspendWrites();
      source.resumeReads();
      return false;
    }
    return true;
  }

  /** Returns the buffer, which is empty if it was not held. */
  private ByteBuffer buffer() {
    if (pooledBuffer.isEmpty()) {
      PooledByteBuffer allocated = pool.allocate();
      allocated.getBuffer().flip();
      pooledBuffer = Optional.of(allocated);
    }
    return pooledBuffer.get().getBuffer();
  }

  /** Returns the buffer to the pool. A source that has stopped sending holds none. */
  private void releaseBuffer() {
    pooledBuffer.ifPresent(PooledByteBuffer::close);
    pooledBuffer = Optional.empty();
  }

  private boolean drain(ByteBuffer buffer) throws IOException {
    if (sink.write(buffer) == 0 && buffer.hasRemaining()) {
      waitForSink();
      return false;
    }
    return true;
  }

  private boolean finish() throws IOException {
    sink.shutdownWrites();
    if (!sink.flush()) {
      waitForSink();
      return false;
    }
    end(listener::completed);
    return false;
  }

  private void waitForSink() {
    source.suspendReads();
    sink.resumeWrites();
  }

  private void end(Runnable notification) {
    isEnded = true;
    releaseBuffer();
    source.suspendReads();
    sink.suspendWrites();
    notification.run();
  }
}
