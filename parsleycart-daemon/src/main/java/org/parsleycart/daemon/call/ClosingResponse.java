package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends a response without a body while the request can't be read to its end, and closes the
 * connection. The server itself would read the rest of the request first.
 */
final class ClosingResponse {
  /** A connection that is closed while bytes arrive is reset, which may overtake the response. */
  private static final long LINGER_MILLISECONDS = 500;

  private ClosingResponse() {}

  /** Sends the response of an exchange, whose status and headers have been set. */
  static void send(HttpServerExchange exchange) {
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
    StreamSinkChannel channel = exchange.getResponseChannel();
    ChannelListener<StreamSinkChannel> onWritable = writable -> flush(exchange, writable);
    channel.getWriteSetter().set(onWritable);
    try {
      channel.shutdownWrites();
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    flush(exchange, channel);
  }

  private static void flush(HttpServerExchange exchange, StreamSinkChannel channel) {
    try {
      if (!channel.flush()) {
        channel.resumeWrites();
        return;
      }
    } catch (IOException e) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    channel.suspendWrites();
    exchange
        .getIoThread()
        .executeAfter(
            () -> IoUtils.safeClose(exchange.getConnection()),
            LINGER_MILLISECONDS,
            TimeUnit.MILLISECONDS);
  }
}
