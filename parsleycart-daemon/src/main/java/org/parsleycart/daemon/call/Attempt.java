package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * One attempt to forward an exchange to the process at an address.
 *
 * @param exchange the received exchange, to which a response is delivered
 * @param address address of the process as {@code host:port}
 * @param requestIdentifier identifier of the request; a response with another one is rejected
 * @param hop the header and framing rules for the process
 * @param headers mesh headers to add to the request
 * @param deadline time at which the attempt is aborted
 * @param listener receives the response head and the result of the attempt
 */
record Attempt(
    HttpServerExchange exchange,
    RequestBody body,
    String address,
    String requestIdentifier,
    HopPolicy hop,
    Map<HttpString, String> headers,
    Instant deadline,
    Listener listener) {

  Attempt {
    requireNonNull(exchange, "exchange is null");
    requireNonNull(body, "body is null");
    requireNonNull(address, "address is null");
    requireNonNull(requestIdentifier, "requestIdentifier is null");
    requireNonNull(hop, "hop is null");
    headers = Map.copyOf(headers);
    requireNonNull(deadline, "deadline is null");
    requireNonNull(listener, "listener is null");
  }

  /** Receives the events of an attempt on the input/output thread of the exchange. */
  interface Listener {

    /**
     * Decides whether a response is delivered, once its head has been received.
     *
     * @return empty if the response is delivered, otherwise the result that ends the attempt
     */
    Optional<AttemptResult> intercept(ClientResponse response);

    /** Adds or removes response headers just before the response is delivered. */
    void beforeDelivery(HttpServerExchange exchange);

    /** Receives the result of the attempt. Called exactly once. */
    void ended(AttemptResult result);
  }
}
