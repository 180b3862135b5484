package org.parsleycart.daemon.call;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.tinylog.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * The framing of forwarded responses. The recipient of a response that breaks off must be able to
 * tell it from a complete one.
 */
final class ResponseFraming {
  private static final int MAXIMUM_STATUS = 599;
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,15}");

  private ResponseFraming() {}

  // -- queries

  /**
   * Returns whether the status is that of a final response (RFC 9110, section 15). Any other number
   * says nothing about what became of the request.
   */
  static boolean isFinal(ClientResponse response) {
    int status = response.getResponseCode();
    return status >= StatusCodes.OK && status <= MAXIMUM_STATUS;
  }

  /** Returns the length of the body in bytes, empty if the response does not state it. */
  static OptionalLong contentLength(ClientResponse response) {
    return Stream.ofNullable(response.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH))
        .filter(length -> LENGTH.matcher(length).matches())
        .mapToLong(Long::parseLong)
        .findFirst();
  }

  /** Returns whether the response has no body, or has headers that show where its body ends. */
  static boolean isFramed(HttpServerExchange exchange, ClientResponse response) {
    return !hasBody(exchange, response.getResponseCode())
        || showEndOfBody(response.getResponseHeaders());
  }

  private static boolean showEndOfBody(HeaderMap headers) {
    return headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING);
  }

  private static boolean hasBody(HttpServerExchange exchange, int status) {
    return !exchange.getRequestMethod().equals(Methods.HEAD)
        && status >= StatusCodes.OK
        && status != StatusCodes.NO_CONTENT
        && status != StatusCodes.NOT_MODIFIED;
  }

  /**
   * Returns whether the response has no body and states the length that one would have (RFC 9110,
   * section 15.4.5). The HTTP client waits for such a body.
   */
  static boolean isLengthWithoutBody(ClientResponse response) {
    return response.getResponseCode() == StatusCodes.NOT_MODIFIED
        && response.getResponseHeaders().contains(Headers.CONTENT_LENGTH);
  }

  // -- operations

  /**
   * Frames the response of an exchange, whose status and end-to-end headers have been set.
   *
   * <p>A body of unknown length is sent in chunks even if the connection ends with it. Without
   * chunks, the end of the connection would complete a body that broke off. Only recipients that
   * predate chunks get such a body, whose failure {@link #abort} shows them.
   */
  static void frame(HttpServerExchange exchange, ClientResponse response) {
    HeaderMap headers = exchange.getResponseHeaders();
    if (response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)
        || isLengthWithoutBody(response)) {
      // Chunks override a length (RFC 9112, section 6.3), which may be shorter than the body. For a
      // length without a body the server would wait for one.
      headers.remove(Headers.CONTENT_LENGTH);
    }
    // A repeated length is passed on once (RFC 9110, section 8.6); the values are equal.
    Optional.ofNullable(headers.getFirst(Headers.CONTENT_LENGTH))
        .ifPresent(length -> headers.put(Headers.CONTENT_LENGTH, length));
    if (!headers.contains(Headers.CONTENT_LENGTH)
        && hasBody(exchange, exchange.getStatusCode())
        && exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
      headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }
  }

  /**
   * Closes the connection of an exchange whose response is incomplete or was not started. If the
   * end of the connection would complete the response, the connection is reset.
   */
  static void abort(HttpServerExchange exchange) {
    if (exchange.isResponseStarted() && !showEndOfBody(exchange.getResponseHeaders())) {
      try {
        exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
      } catch (IOException e) {
        Logger.info("connection already closed before its reset: {}", e.getMessage());
      }
    }
    IoUtils.safeClose(exchange.getConnection());
  }
}
