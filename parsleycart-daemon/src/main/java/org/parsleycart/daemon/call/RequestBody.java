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
   * Buffers a body of known and limited length, unless all connections together hold too much. Any
   * other body is streamed.
   *
   * @param exchange the exchange, before any of its body has been read
   * @param maximumBufferedBytes size in bytes up to which a body is buffered
   * @param onReady receives the body, possibly before this method returns
   * @param onFailure receives the error if the body cannot be read to its end
   */
  static void bufferOrStream(
      HttpServerExchange exchange,
      int maximumBufferedBytes,
      Consumer<RequestBody> onReady,
      Consumer<IOException> onFailure) {
    requireNonNull(exchange, "exchange is null");
    if (exchange.isRequestComplete()) {
      onReady.accept(Buffered.empty());
      return;
    }
    long length = exchange.getRequestContentLength();
    StreamSourceChannel channel = exchange.getRequestChannel();
    // While too much is held already, a body is streamed and can't be sent again.
    if (length < 0 || length > maximumBufferedBytes || !tryHold(exchange, length)) {
      onReady.accept(new Streamed(channel));
      return;
    }
    ByteArrayOutputStream content = new ByteArrayOutputStream((int) length);
    read(exchange, channel, content, onReady, onFailure);
  }

  private static boolean tryHold(HttpServerExchange exchange, long bytes) {
    return DisconnectDetectingConduit.guardOf(exchange)
        .map(guarded -> guarded.tryHoldBody(bytes))
        .orElse(true);
  }

  private static void read(
      HttpServerExchange exchange,
      StreamSourceChannel channel,
      ByteArrayOutputStream content,
      Consumer<RequestBody> onReady,
      Consumer<IOException> onFailure) {
    try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      int count = channel.read(buffer);
      while (count > 0) {
        buffer.flip();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        content.writeBytes(bytes);
        buffer.clear();
        count = channel.read(buffer);
      }
      if (count < 0) {
        onReady.accept(new Buffered(ByteBuffer.wrap(content.toByteArray())));
        return;
      }
    } catch (IOException e) {
      onFailure.accept(e);
      return;
    }
    ChannelListener<StreamSourceChannel> onReadable =
        readable -> {
          readable.suspendReads();
          read(exchange, readable, content, onReady, onFailure);
        };
    channel.getReadSetter().set(onReadable);
    channel.resumeReads();
  }

  // -- variants

  /** A body in memory. */
  record Buffered(ByteBuffer bytes) implements RequestBody {

    static Buffered empty() {
      return new Buffered(ByteBuffer.allocate(0));
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
        boolean isBlocked = false;
        while (remaining.hasRemaining() && !isBlocked) {
          isBlocked = sink.write(remaining) == 0;
        }
        if (!isBlocked) {
          sink.shutdownWrites();
          isBlocked = !sink.flush();
        }
        if (!isBlocked) {
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
