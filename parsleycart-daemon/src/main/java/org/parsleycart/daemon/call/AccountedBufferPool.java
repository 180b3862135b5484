package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.nio.ByteBuffer;

/** The pool of one connection, which charges each buffer to the account of the connection. */
final class AccountedBufferPool implements ByteBufferPool {
  private final ByteBufferPool pool;
  private final ConnectionAccount account;

  // -- construction

  AccountedBufferPool(ByteBufferPool pool, ConnectionAccount account) {
    this.pool = requireNonNull(pool, "pool is null");
    this.account = requireNonNull(account, "account is null");
  }

  // -- ByteBufferPool

  @Override
  public PooledByteBuffer allocate() {
    PooledByteBuffer buffer = pool.allocate();
    account.holdBuffer(pool.getBufferSize());
    return new Buffer(buffer);
  }

  @Override
  public ByteBufferPool getArrayBackedPool() {
    return pool.getArrayBackedPool();
  }

  @Override
  public int getBufferSize() {
    return pool.getBufferSize();
  }

  @Override
  public boolean isDirect() {
    return pool.isDirect();
  }

  @Override
  public void close() {
    // The pool belongs to all connections.
  }

  private final class Buffer implements PooledByteBuffer {
    private final PooledByteBuffer buffer;

    private Buffer(PooledByteBuffer buffer) {
      this.buffer = buffer;
    }

    @Override
    public ByteBuffer getBuffer() {
      return buffer.getBuffer();
    }

    @Override
    public void close() {
      if (buffer.isOpen()) {
        buffer.close();
        account.releaseBuffer(pool.getBufferSize());
      }
    }

    @Override
    public boolean isOpen() {
      return buffer.isOpen();
    }
  }
}
