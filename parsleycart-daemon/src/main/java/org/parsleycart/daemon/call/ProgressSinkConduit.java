package org.parsleycart.daemon.call;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitWritableByteChannel;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Counts the bytes written to a connection, and notes whether the other side has to read before
 * more can be written.
 */
final class ProgressSinkConduit extends AbstractStreamSinkConduit<StreamSinkConduit> {
  /** The runtime copies a buffer on the heap to direct memory as a whole before it writes it. */
  private static final int MAXIMUM_WRITE_BYTES = 64 * 1024;

  private volatile long totalBytes;
  private volatile boolean isBlocked;
  private boolean isFailed;

  // -- construction

  ProgressSinkConduit(StreamSinkConduit next) {
    super(next);
  }

  /** Installs a conduit on a new connection. */
  static ProgressSinkConduit install(StreamConnection connection) {
    ConduitStreamSinkChannel channel = connection.getSinkChannel();
    ProgressSinkConduit conduit = new ProgressSinkConduit(channel.getConduit());
    channel.setConduit(conduit);
    return conduit;
  }

  // -- queries

  long totalBytes() {
    return totalBytes;
  }

  /** Returns whether the last write was not accepted as a whole. */
  boolean isBlocked() {
    return isBlocked;
  }

  // -- writing

  /** Lets every later write fail. */
  void fail() {
    isFailed = true;
  }

  private void checkNotFailed() throws IOException {
    if (isFailed) {
      throw new IOException("connection closed: its client made no progress");
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only one thread at a time writes a response.
  private long record(long count, boolean hasRemaining) {
    totalBytes += Math.max(0, count);
    isBlocked = hasRemaining;
    return count;
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    if (source.remaining() > MAXIMUM_WRITE_BYTES) {
      return (int) writePart(new ByteBuffer[] {source}, 0, 1);
    }
    checkNotFailed();
    int count = next.write(source);
    return (int) record(count, source.hasRemaining());
  }

  @Override
  public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
    if (remaining(sources, offset, length) > MAXIMUM_WRITE_BYTES) {
      return writePart(sources, offset, length);
    }
    checkNotFailed();
    long count = next.write(sources, offset, length);
    return record(count, length > 0 && sources[offset + length - 1].hasRemaining());
  }

  @Override
  public int writeFinal(ByteBuffer source) throws IOException {
    if (source.remaining() > MAXIMUM_WRITE_BYTES) {
      return (int) writePart(new ByteBuffer[] {source}, 0, 1);
    }
    checkNotFailed();
    int count = next.writeFinal(source);
    return (int) record(count, source.hasRemaining());
  }

  @Override
  public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
    if (remaining(sources, offset, length) > MAXIMUM_WRITE_BYTES) {
      return writePart(sources, offset, length);
    }
    checkNotFailed();
    long count = next.writeFinal(sources, offset, length);
    return record(count, length > 0 && sources[offset + length - 1].hasRemaining());
  }

  /** Writes the first bytes of buffers that hold more than is written at once. */
  private long writePart(ByteBuffer[] sources, int offset, int length) throws IOException {
    checkNotFailed();
    ByteBuffer[] parts = firstBytes(sources, offset, length);
    long count = next.write(parts, 0, parts.length);
    long left = Math.max(0, count);
    for (int index = offset; index < offset + length && left > 0; index++) {
      int written = (int) Math.min(left, sources[index].remaining());
      sources[index].position(sources[index].position() + written);
      left -= written;
    }
    return record(count, remaining(parts, 0, parts.length) > 0);
  }

  /** Returns views of the first bytes, as many as are written at once. */
  private static ByteBuffer[] firstBytes(ByteBuffer[] sources, int offset, int length) {
    ByteBuffer[] parts = new ByteBuffer[length];
    int left = MAXIMUM_WRITE_BYTES;
    for (int index = 0; index < length; index++) {
      ByteBuffer source = sources[offset + index];
      int count = Math.min(left, source.remaining());
      parts[index] = source.slice(source.position(), count);
      left -= count;
    }
    return parts;
  }

  private static long remaining(ByteBuffer[] sources, int offset, int length) {
    long remaining = 0;
    for (int index = offset; index < offset + length; index++) {
      remaining += sources[index].remaining();
    }
    return remaining;
  }

  @Override
  public boolean flush() throws IOException {
    checkNotFailed();
    return next.flush();
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
}
