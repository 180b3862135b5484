package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.ConduitWritableByteChannel;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.WriteReadyHandler;

/**
 * Holds the response to one request until its turn. Takes no more than fits into its buffer, so
 * that whoever writes a longer response waits. Confined to one input/output thread.
 */
final class LaneSink implements StreamSinkConduit {
  /** Holds most responses as a whole, so that their upstreams can go on. */
  static final int MAXIMUM_BYTES = 32 * 1024;

  private static final int INITIAL_BYTES = 1024;

  private final XnioIoThread thread;
  private final Runnable onWritten;
  private final Runnable onTerminated;
  private ByteBuffer held = ByteBuffer.allocate(0);
  private Optional<WriteReadyHandler> handler = Optional.empty();
  private boolean isResumed;
  private boolean isTerminated;

  // -- construction

  LaneSink(XnioIoThread thread, Runnable onWritten, Runnable onTerminated) {
    this.thread = requireNonNull(thread, "thread is null");
    this.onWritten = requireNonNull(onWritten, "onWritten is null");
    this.onTerminated = requireNonNull(onTerminated, "onTerminated is null");
  }

  // -- held bytes

  boolean isFull() {
    return held.position() >= MAXIMUM_BYTES;
  }

  boolean isEmpty() {
    return held.position() == 0;
  }

  /**
   * Sends held bytes on.
   *
   * @return whether all of them were taken
   */
  boolean sendTo(StreamSinkConduit sink) throws IOException {
    held.flip();
    try {
      while (held.hasRemaining() && sink.write(held) > 0) {
        // Writes until the sink takes no more.
      }
    } finally {
      held.compact();
    }
    if (held.position() < MAXIMUM_BYTES) {
      notifyWriter();
    }
    return isEmpty();
  }

  /** Puts other bytes in the place of what is held. */
  void replaceHeld(byte[] bytes) {
    held = ByteBuffer.allocate(bytes.length).put(bytes);
  }

  private void notifyWriter() {
    if (isResumed) {
      thread.execute(
          () -> {
            if (isResumed && !isTerminated && held.position() < MAXIMUM_BYTES) {
              handler.ifPresent(WriteReadyHandler::writeReady);
            }
          });
    }
  }

  // -- writing

  @Override
  public int write(ByteBuffer source) throws IOException {
    int count = hold(source);
    if (count > 0) {
      onWritten.run();
    }
    return count;
  }

  private int hold(ByteBuffer source) throws IOException {
    if (isTerminated) {
      throw new ClosedChannelException();
    }
    int count = Math.min(source.remaining(), MAXIMUM_BYTES - held.position());
    ensureCapacity(held.position() + count);
    held.put(source.slice(source.position(), count));
    source.position(source.position() + count);
    return count;
  }

  private void ensureCapacity(int bytes) {
    if (held.capacity() < bytes) {
      int capacity = Math.max(INITIAL_BYTES, Math.max(bytes, 2 * held.capacity()));
      held = ByteBuffer.allocate(Math.min(MAXIMUM_BYTES, capacity)).put(held.flip());
    }
  }

  @Override
  public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
    long total = 0;
    for (int index = offset; index < offset + length; index++) {
      total += hold(sources[index]);
    }
    if (total > 0) {
      onWritten.run();
    }
    return total;
  }

  @Override
  public int writeFinal(ByteBuffer source) throws IOException {
    int count = write(source);
    if (!source.hasRemaining()) {
      terminateWrites();
    }
    return count;
  }

  @Override
  public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
    long count = write(sources, offset, length);
    if (length == 0 || !sources[offset + length - 1].hasRemaining()) {
      terminateWrites();
    }
    return count;
  }

  @Override
  public long transferFrom(FileChannel source, long position, long count) throws IOException {
    return source.transferTo(position, count, new ConduitWritableByteChannel(this));
  }

  @Override
  public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer)
      throws IOException {
    return IoUtils.transfer(source, count, throughBuffer, new ConduitWritableByteChannel(this));
  }

  @Override
  public boolean flush() {
    return true;
  }

  // -- readiness

  @Override
  public void setWriteReadyHandler(WriteReadyHandler newHandler) {
    handler = Optional.of(newHandler);
  }

  @Override
  public void resumeWrites() {
    isResumed = true;
    notifyWriter();
  }

  @Override
  public void wakeupWrites() {
    resumeWrites();
  }

  @Override
  public void suspendWrites() {
    isResumed = false;
  }

  @Override
  public boolean isWriteResumed() {
    return isResumed;
  }

  @Override
  public void awaitWritable() throws IOException {
    throw new IOException("the turn of a response cannot be awaited");
  }

  @Override
  public void awaitWritable(long time, TimeUnit unit) throws IOException {
    awaitWritable();
  }

  // -- state

  @Override
  public void terminateWrites() {
    if (!isTerminated) {
      isTerminated = true;
      onTerminated.run();
    }
  }

  @Override
  public void truncateWrites() {
    terminateWrites();
  }

  @Override
  public boolean isWriteShutdown() {
    return isTerminated;
  }

  @Override
  public XnioIoThread getWriteThread() {
    return thread;
  }

  @Override
  public XnioWorker getWorker() {
    return thread.getWorker();
  }
}
