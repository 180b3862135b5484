package org.parsleycart.link.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Writes the body of one request and collects its response, on the thread of the connection. */
final class HttpExchange implements ClientCallback<ClientExchange> {
  private static final int MAXIMUM_RESPONSE_BYTES = 32 * 1024 * 1024;
  private static final int READ_BUFFER_BYTES = 4 * 1024;

  private final BoundedConnection connection;
  private final ByteBuffer body;
  private final CompletableFuture<HttpResponse> response;
  private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();

  // -- construction

  HttpExchange(
      BoundedConnection connection, byte[] body, CompletableFuture<HttpResponse> response) {
    this.connection = connection;
    this.body = ByteBuffer.wrap(body);
    this.response = response;
  }

  // -- ClientCallback

  @Override
  public void completed(ClientExchange exchange) {
    exchange.setResponseListener(
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange exchangeWithResponse) {
            connection.headReceived();
            readHead(exchangeWithResponse);
          }

          @Override
          public void failed(IOException cause) {
            response.completeExceptionally(cause);
          }
        });
    write(exchange.getRequestChannel());
  }

  @Override
  public void failed(IOException cause) {
    response.completeExceptionally(cause);
  }

  // -- writing

  private void write(StreamSinkChannel channel) {
    try {
      while (body.hasRemaining()) {
        if (channel.write(body) == 0) {
          resumeWrites(channel);
          return;
        }
      }
      channel.shutdownWrites();
      if (!channel.flush()) {
        resumeWrites(channel);
      }
    } catch (IOException e) {
      response.completeExceptionally(e);
    }
  }

  private void resumeWrites(StreamSinkChannel channel) {
    ChannelListener<StreamSinkChannel> listener =
        ready -> {
          ready.suspendWrites();
          write(ready);
        };
    channel.getWriteSetter().set(listener);
    channel.resumeWrites();
  }

  // -- reading

  private void readHead(ClientExchange exchange) {
    ClientResponse response = exchange.getResponse();
    Map<String, String> headers = new LinkedHashMap<>();
    for (HeaderValues values : response.getResponseHeaders()) {
      headers.put(values.getHeaderName().toString(), values.getFirst());
    }
    readBody(exchange.getResponseChannel(), response.getResponseCode(), headers);
  }

  private void readBody(StreamSourceChannel channel, int status, Map<String, String> headers) {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    try {
      int count = channel.read(buffer);
      while (count > 0) {
        connection.bodyReceived();
        responseBody.write(buffer.array(), 0, count);
        if (responseBody.size() > MAXIMUM_RESPONSE_BYTES) {
          throw new IOException("HTTP response larger than " + MAXIMUM_RESPONSE_BYTES + " bytes");
        }
        buffer.clear();
        count = channel.read(buffer);
      }
      if (count < 0) {
        response.complete(new HttpResponse(status, headers, responseBody.toByteArray()));
      } else {
        resumeReads(channel, status, headers);
      }
    } catch (IOException e) {
      response.completeExceptionally(e);
    }
  }

  private void resumeReads(StreamSourceChannel channel, int status, Map<String, String> headers) {
    ChannelListener<StreamSourceChannel> listener =
        ready -> {
          ready.suspendReads();
          readBody(ready, status, headers);
        };
    channel.getReadSetter().set(listener);
    channel.resumeReads();
  }
}
