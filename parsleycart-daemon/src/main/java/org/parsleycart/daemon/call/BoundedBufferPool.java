package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * A pool with a bounded number of direct buffers. When all are taken it provides buffers on the
 * heap, and therefore never waits for direct memory, which the runtime does for half a second.
 *
 * <p>Direct buffers are kept once they have been allocated, since their memory only becomes free
 * when the collector finds them. Thread-safe.
 */
public final class BoundedBufferPool implements ByteBufferPool {
  private final int bufferBytes;
  private final int maximumDirectBuffers;
  private final ByteBufferPool arrayBacked;
  private final Deque<ByteBuffer> unused = new ArrayDeque<>();
  private int directBuffers;

  // -- construction

  /**
   * Creates a pool without buffers.
   *
   * @param bufferBytes the size of a buffer in bytes
   * @param maximumDirectBytes the direct memory that all buffers may occupy together, in bytes
   */
  public BoundedBufferPool(int bufferBytes, long maximumDirectBytes) {
    this.bufferBytes = bufferBytes;
    this.maximumDirectBuffers = (int) Math.min(Integer.MAX_VALUE, maximumDirectBytes / bufferBytes);
    this.arrayBacked = new DefaultByteBufferPool(false, bufferBytes, 0, 0);
  }

  // -- ByteBufferPool

  @Override
  public PooledByteBuffer allocate() {
    return direct()
        .map(buffer -> new Buffer(buffer, this::release))
        .orElseGet(() -> new Buffer(ByteBuffer.allocate(bufferBytes), released -> {}));
  }

  private synchronized Optional<ByteBuffer> direct() {
    if (unused.isEmpty() && directBuffers < maximumDirectBuffers) {
      directBuffers++;
      return Optional.of(ByteBuffer.allocateDirect(bufferBytes));
    }
    return Optional.ofNullable(unused.pollFirst()).map(ByteBuffer::clear);
  }

  private synchronized void release(ByteBuffer buffer) {
    unused.addFirst(buffer);
  }

  @Override
  public ByteBufferPool getArrayBackedPool() {
    return arrayBacked;
  }

  @Override
  public int getBufferSize() {
    return bufferBytes;
  }

  @Override
  public boolean isDirect() {
    return true;
  }

  @Override
  public synchronized void close() {
    unused.clear();
  }

  /** A buffer that is released once. */
  private static final class Buffer implements PooledByteBuffer {
    private final ByteBuffer buffer;
    private final Consumer<ByteBuffer> onClose;
    private final AtomicBoolean isOpen = new AtomicBoolean(true);

    private Buffer(ByteBuffer buffer, Consumer<ByteBuffer> onClose) {
      this.buffer = requireNonNull(buffer, "buffer is null");
      this.onClose = onClose;
    }

    @Override
    public ByteBuffer getBuffer() {
      if (!isOpen()) {
        throw new IllegalStateException("buffer has been returned to its pool");
      }
      return buffer;
    }

    @Override
    public void close() {
      if (isOpen.compareAndSet(true, false)) {
        onClose.accept(buffer);
      }
    }

    @Override
    public boolean isOpen() {
      return isOpen.get();
    }
  }
}
