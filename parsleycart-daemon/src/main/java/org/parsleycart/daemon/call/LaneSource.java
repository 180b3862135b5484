package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Supplies the head of one request from memory, and then nothing until its caller disconnects.
 * Confined to one input/output thread.
 */
final class LaneSource implements StreamSourceConduit {
  private final XnioIoThread thread;
  private final ByteBuffer head;
  private final Runnable onTerminated;
  private Optional<ReadReadyHandler> handler = Optional.empty();
  private boolean isResumed;
  private boolean isDisconnected;
  private boolean isTerminated;

  // -- construction

  LaneSource(XnioIoThread thread, ByteBuffer head, Runnable onTerminated) {
    this.thread = requireNonNull(thread, "thread is null");
    this.head = requireNonNull(head, "head is null");
    this.onTerminated = requireNonNull(onTerminated, "onTerminated is null");
  }

  // -- events

  /** Records that the caller has disconnected, which ends the stream. */
  void disconnect() {
    isDisconnected = true;
    notifyReader();
  }

  private void notifyReader() {
    thread.execute(
        () -> {
          if (isResumed && !isTerminated) {
            handler.ifPresent(ReadReadyHandler::readReady);
          }
        });
  }

  // -- reading

  @Override
  public int read(ByteBuffer target) {
    if (head.hasRemaining()) {
      int count = Math.min(head.remaining(), target.remaining());
      target.put(head.slice(head.position(), count));
      head.position(head.position() + count);
      return count;
    }
    return isDisconnected || isTerminated ? -1 : 0;
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) {
    long total = 0;
    for (int index = offset; index < offset + length && head.hasRemaining(); index++) {
      total += read(targets[index]);
    }
    return total == 0 && (isDisconnected || isTerminated) ? -1 : total;
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
  public void setReadReadyHandler(ReadReadyHandler newHandler) {
    handler = Optional.of(newHandler);
  }

  @Override
  public void resumeReads() {
    isResumed = true;
    if (head.hasRemaining() || isDisconnected) {
      notifyReader();
    }
  }

  @Override
  public void wakeupReads() {
    isResumed = true;
    notifyReader();
  }

  @Override
  public void suspendReads() {
    isResumed = false;
  }

  @Override
  public boolean isReadResumed() {
    return isResumed;
  }

  @Override
  public void awaitReadable() throws IOException {
    throw new IOException("a request in memory cannot be awaited");
  }

  @Override
  public void awaitReadable(long time, TimeUnit unit) throws IOException {
    awaitReadable();
  }

  // -- state

  @Override
  public void terminateReads() {
    if (!isTerminated) {
      isTerminated = true;
      onTerminated.run();
    }
  }

  @Override
  public boolean isReadShutdown() {
    return isTerminated;
  }

  @Override
  public XnioIoThread getReadThread() {
    return thread;
  }

  @Override
  public XnioWorker getWorker() {
    return thread.getWorker();
  }
}
