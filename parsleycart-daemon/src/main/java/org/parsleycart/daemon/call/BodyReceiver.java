package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalInt;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Receives whole bodies without occupying a thread, within the memory that connections may hold.
 */
public final class BodyReceiver {
  /** A body is in memory twice when it has been received: in pieces and as a whole. */
  private static final long COPIES = 2;

  private BodyReceiver() {}

  /**
   * Receives the body of a request.
   *
   * @param maximumBytes the largest body that is received
   * @param onBody receives the exchange and the body
   * @param onRefusal receives the status with which the request is refused, as it has not run
   */
  public static void receive(
      HttpServerExchange exchange,
      int maximumBytes,
      BiConsumer<HttpServerExchange, byte[]> onBody,
      IntConsumer onRefusal) {
    requireNonNull(onBody, "onBody is null");
    requireNonNull(onRefusal, "onRefusal is null");
    if (exchange.isRequestComplete()) {
      onBody.accept(exchange, new byte[0]);
      return;
    }
    long length = exchange.getRequestContentLength();
    if (length > maximumBytes) {
      onRefusal.accept(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (length < 0) {
      ChunkedBody body =
          new ChunkedBody(
              exchange,
              exchange.getRequestChannel(),
              new ByteArrayOutputStream(),
              maximumBytes,
              onBody,
              onRefusal);
      CallDispatch.run(exchange, body::read);
      return;
    }
    if (!tryHold(exchange, COPIES * length)) {
      onRefusal.accept(StatusCodes.SERVICE_UNAVAILABLE);
      return;
    }
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(maximumBytes);
    receiver.receiveFullBytes(
        onBody::accept,
        (failed, cause) ->
            onRefusal.accept(
                cause instanceof Receiver.RequestToLargeException
                    ? StatusCodes.REQUEST_ENTITY_TOO_LARGE
                    : StatusCodes.BAD_REQUEST));
  }

  /**
   * Reserves memory until the exchange is complete. Returns false, and reserves nothing, if clients
   * hold too much.
   */
  public static boolean tryHold(HttpServerExchange exchange, long bytes) {
    return DisconnectDetectingConduit.guardOf(exchange)
        .map(guarded -> guarded.tryHoldBody(bytes))
        .orElse(true);
  }

  /** A body of unknown length, which is charged as it arrives. */
  private record ChunkedBody(
      HttpServerExchange exchange,
      StreamSourceChannel channel,
      ByteArrayOutputStream content,
      int maximumBytes,
      BiConsumer<HttpServerExchange, byte[]> onBody,
      IntConsumer onRefusal) {

    private void read() {
      try (PooledByteBuffer pooled = exchange.getConnection().getByteBufferPool().allocate()) {
        ByteBuffer buffer = pooled.getBuffer();
        int count = channel.read(buffer);
        while (count > 0) {
          OptionalInt refusal = append(buffer.flip());
          if (refusal.isPresent()) {
            onRefusal.accept(refusal.getAsInt());
            return;
          }
          count = channel.read(buffer.clear());
        }
        if (count < 0) {
          onBody.accept(exchange, content.toByteArray());
          return;
        }
      } catch (IOException e) {
        onRefusal.accept(StatusCodes.BAD_REQUEST);
        return;
      }
      channel.getReadSetter().set(this::continueReading);
      channel.resumeReads();
    }

    private void continueReading(StreamSourceChannel readable) {
      readable.suspendReads();
      read();
    }

    /** Returns the status with which the request is refused, empty if there is room. */
    private OptionalInt append(ByteBuffer buffer) {
      int count = buffer.remaining();
      if (content.size() + count > maximumBytes) {
        return OptionalInt.of(StatusCodes.REQUEST_ENTITY_TOO_LARGE);
      }
      if (!tryHold(exchange, COPIES * count)) {
        return OptionalInt.of(StatusCodes.SERVICE_UNAVAILABLE);
      }
      byte[] bytes = new byte[count];
      buffer.get(bytes);
      content.writeBytes(bytes);
      return OptionalInt.empty();
    }
  }
}
