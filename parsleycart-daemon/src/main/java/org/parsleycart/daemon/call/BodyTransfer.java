package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Copies a body from one channel to another through a single buffer. Reads are suspended while the
 * sink accepts no data. Confined to one input/output thread.
 */
final class BodyTransfer {
  private final StreamSourceChannel source;
  private final StreamSinkChannel sink;
  private final PooledByteBuffer pooledBuffer;
  private final Listener listener;
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
      PooledByteBuffer pooledBuffer,
      Listener listener) {
    this.source = source;
    this.sink = sink;
    this.pooledBuffer = pooledBuffer;
    this.listener = listener;
  }

  /** Starts a transfer. The listener may be called before this method returns. */
  static void start(
      StreamSourceChannel source, StreamSinkChannel sink, ByteBufferPool pool, Listener listener) {
    requireNonNull(source, "source is null");
    requireNonNull(sink, "sink is null");
    BodyTransfer transfer = new BodyTransfer(source, sink, pool.allocate(), listener);
    transfer.pooledBuffer.getBuffer().flip();
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
    ByteBuffer buffer = pooledBuffer.getBuffer();
    if (!buffer.hasRemaining() && !isSourceAtEnd && !fill(buffer)) {
      return false;
    }
    try {
      return (isSourceAtEnd && !buffer.hasRemaining()) ? finish() : drain(buffer);
    } catch (IOException e) {
      end(() -> listener.sinkFailed(e));
      return false;
    }
  }

  private boolean fill(ByteBuffer buffer) {
    buffer.clear();
    try {
      int count = source.read(buffer);
      buffer.flip();
      isSourceAtEnd = count < 0;
      if (count == 0) {
        sink.suspendWrites();
        source.resumeReads();
        return false;
      }
      return true;
    } catch (IOException e) {
      end(() -> listener.sourceFailed(e));
      return false;
    }
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
    pooledBuffer.close();
    source.suspendReads();
    sink.suspendWrites();
    notification.run();
  }
}
