package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** The body of a request, either buffered in memory or streamed from the caller. */
sealed interface RequestBody {

  /** Returns whether the body can be sent more than once. */
  boolean isReplayable();

  /** Writes the body to the sink, and then shuts down writes to the sink. */
  void writeTo(StreamSinkChannel sink, ByteBufferPool pool, BodyTransfer.Listener listener);

  // -- construction

  /**
   * Buffers a body of known and limited length. Any other body is streamed.
   *
   * @param exchange the exchange, not read so far
   * @param replayableBytes the largest body held in memory
   * @param ready takes the body
   * @param failed told when the caller breaks off
   */
  static void bufferOrStream(
      HttpServerExchange exchange,
      int replayableBytes,
      Consumer<RequestBody> ready,
      Consumer<IOException> failed) {
    requireNonNull(exchange, "exchange is null");
    if (exchange.isRequestComplete()) {
      ready.accept(Held.empty());
      return;
    }
    long length = exchange.getRequestContentLength();
    StreamSourceChannel channel = exchange.getRequestChannel();
    if (length < 0 || length > replayableBytes) {
      ready.accept(new Streamed(channel));
      return;
    }
    ByteArrayOutputStream gathered = new ByteArrayOutputStream((int) length);
    read(exchange, channel, gathered, ready, failed);
  }

  private static void read(
      HttpServerExchange exchange,
      StreamSourceChannel channel,
      ByteArrayOutputStream gathered,
      Consumer<RequestBody> ready,
      Consumer<IOException> failed) {
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      int count = channel.read(buffer);
      while (count > 0) {
        buffer.flip();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        gathered.writeBytes(bytes);
        buffer.clear();
        count = channel.read(buffer);
      }
      if (count < 0) {
        ready.accept(new Held(ByteBuffer.wrap(gathered.toByteArray())));
        return;
      }
    } catch (IOException e) {
      failed.accept(e);
      return;
    }
    ChannelListener<StreamSourceChannel> onReadable =
        readable -> {
          readable.suspendReads();
          read(exchange, readable, gathered, ready, failed);
        };
    channel.getReadSetter().set(onReadable);
    channel.resumeReads();
  }

  // -- variants

  /** A body held in memory. */
  record Held(ByteBuffer bytes) implements RequestBody {

    /** Returns the body of a request without one. */
    static Held empty() {
      return new Held(ByteBuffer.allocate(0));
    }

    int length() {
      return bytes.remaining();
    }

    @Override
    public boolean isReplayable() {
      return true;
    }

    @Override
    public void writeTo(
        StreamSinkChannel sink, ByteBufferPool pool, BodyTransfer.Listener listener) {
      write(bytes.duplicate(), sink, listener);
    }

    private static void write(
        ByteBuffer remaining, StreamSinkChannel sink, BodyTransfer.Listener listener) {
      try {
        boolean blocked = false;
        while (remaining.hasRemaining() && !blocked) {
          blocked = sink.write(remaining) == 0;
        }
        if (!blocked) {
          sink.shutdownWrites();
          blocked = !sink.flush();
        }
        if (!blocked) {
          listener.completed();
          return;
        }
      } catch (IOException e) {
        listener.sinkFailed(e);
        return;
      }
      ChannelListener<StreamSinkChannel> onWritable =
          writable -> {
            writable.suspendWrites();
            write(remaining, writable, listener);
          };
      sink.getWriteSetter().set(onWritable);
      sink.resumeWrites();
    }
  }

  /** A body that is read from the caller while it is sent. It can be sent only once. */
  record Streamed(StreamSourceChannel source) implements RequestBody {
    @Override
    public boolean isReplayable() {
      return false;
    }

    @Override
    public void writeTo(
        StreamSinkChannel sink, ByteBufferPool pool, BodyTransfer.Listener listener) {
      BodyTransfer.start(source, sink, pool, listener);
    }
  }
}
