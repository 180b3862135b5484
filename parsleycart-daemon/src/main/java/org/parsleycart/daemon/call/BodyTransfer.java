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
  private final PooledByteBuffer pooled;
  private final Listener listener;
  private boolean sourceEnded;
  private boolean ended;

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
      PooledByteBuffer pooled,
      Listener listener) {
    this.source = source;
    this.sink = sink;
    this.pooled = pooled;
    this.listener = listener;
  }

  /** Starts a transfer. The listener may be called before this method returns. */
  static void start(
      StreamSourceChannel source, StreamSinkChannel sink, ByteBufferPool pool, Listener listener) {
    requireNonNull(source, "source is null");
    requireNonNull(sink, "sink is null");
    BodyTransfer pump = new BodyTransfer(source, sink, pool.allocate(), listener);
    pump.pooled.getBuffer().flip();
    ChannelListener<StreamSourceChannel> onReadable = ready -> pump.run();
    ChannelListener<StreamSinkChannel> onWritable = ready -> pump.run();
    source.getReadSetter().set(onReadable);
    sink.getWriteSetter().set(onWritable);
    pump.run();
  }

  // -- copying

  private void run() {
    boolean progressing = !ended;
    while (progressing) {
      progressing = step() && !ended;
    }
  }

  /**
   * Makes at most one read and one write. Returns false when the transfer is over or when a channel
   * must become ready first.
   */
  private boolean step() {
    ByteBuffer buffer = pooled.getBuffer();
    if (!buffer.hasRemaining() && !sourceEnded && !fill(buffer)) {
      return false;
    }
    try {
      return (sourceEnded && !buffer.hasRemaining()) ? finish() : drain(buffer);
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
      sourceEnded = count < 0;
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
    ended = true;
    pooled.close();
    source.suspendReads();
    sink.suspendWrites();
    notification.run();
  }
}
