package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;

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
    long heldBytes = COPIES * (length < 0 ? maximumBytes : length);
    boolean isHeld =
        DisconnectDetectingConduit.guardOf(exchange)
            .map(guarded -> guarded.tryHoldBody(heldBytes))
            .orElse(true);
    if (!isHeld) {
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
}
