package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * One try to get an exchange answered by the process at an address.
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

  /** Told of the answer and the end, on the input/output thread of the exchange. */
  interface Listener {

    /**
     * Takes the head of an answer.
     *
     * @return empty when the answer is to be delivered, or else the end of the attempt
     */
    Optional<AttemptResult> intercept(ClientResponse response);

    /** Adds or removes headers of the exchange's response just before it is delivered. */
    void beforeDelivery(HttpServerExchange exchange);

    /** Takes the end of the attempt; called exactly once. */
    void ended(AttemptResult end);
  }
}
