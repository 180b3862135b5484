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
 * @param exchange the caller's exchange
 * @param body the request body
 * @param address where to send, {@code host:port}
 * @param requestIdentifier the identifier that an answer must not contradict
 * @param hop the kind of process at the address
 * @param headers headers of the mesh to add
 * @param deadline when the answer is of no use any more
 * @param listener told of the answer and the end
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

    /** Takes the end of the attempt; called exactly once. */
    void ended(AttemptResult end);
  }
}
