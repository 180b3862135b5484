package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.CallPace;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/** Writes responses that originate in the mesh, and the mesh headers of other responses. */
public final class MeshResponses {
  private static final String INCOMPLETE_RESPONSE_REASON = "no-whole-answer";
  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
  private static final double MILLISECONDS_PER_SECOND = 1000;

  private final Dialect dialect;

  // -- construction

  public MeshResponses(Dialect dialect) {
    this.dialect = requireNonNull(dialect, "dialect is null");
  }

  // -- to callers

  /**
   * Reports to a caller that its request did not run. Adds a {@code Retry-After} header in seconds
   * if the reason is temporary.
   */
  void sendNotRun(
      HttpServerExchange exchange,
      String requestIdentifier,
      RefusalReason reason,
      Duration retryAfter) {
    if (reason.isTemporary()) {
      double seconds = retryAfter.toMillis() / MILLISECONDS_PER_SECOND;
      exchange.getResponseHeaders().put(RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
    }
    int status = reason.statusCode();
    if (status == StatusCodes.UNAUTHORIZED) {
      exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
    }
    sendToCaller(exchange, requestIdentifier, AttemptOutcome.NOT_RUN, status, reason.toString());
  }

  /** Reports to a caller that its request may have run. */
  void sendUnknown(
      HttpServerExchange exchange, String requestIdentifier, boolean hasDeadlinePassed) {
    int status = hasDeadlinePassed ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
    sendToCaller(
        exchange, requestIdentifier, AttemptOutcome.UNKNOWN, status, INCOMPLETE_RESPONSE_REASON);
  }

  private void sendToCaller(
      HttpServerExchange exchange,
      String requestIdentifier,
      AttemptOutcome outcome,
      int status,
      String reason) {
    if (dialect.isRequestIdentifiedByCaller()) {
      HeaderMap headers = exchange.getResponseHeaders();
      headers.put(dialect.headers().requestIdentifier(), requestIdentifier);
      headers.put(Headers.CONTENT_LENGTH, 0);
      exchange.setStatusCode(status);
      endWithoutBody(exchange);
      return;
    }
    String body =
        JsonDocuments.format(
            Document.mapping()
                .with("outcome", outcome.toString())
                .with("reason", reason)
                .with("request", requestIdentifier)
                .build());
    setStatusAndHeaders(exchange, requestIdentifier, outcome, status, reason);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body);
  }

  /** Adds the mesh headers to a response of an upstream, if the dialect has them in responses. */
  void addAnsweredHeaders(HttpServerExchange exchange, String requestIdentifier, String zone) {
    if (!dialect.isRequestIdentifiedByCaller()) {
      HeaderMap headers = exchange.getResponseHeaders();
      headers.put(CallHeaders.REQUEST_IDENTIFIER, requestIdentifier);
      headers.put(CallHeaders.OUTCOME, AttemptOutcome.ANSWERED.toString());
      headers.put(CallHeaders.ZONE, zone);
    }
  }

  // -- to daemons

  /** Reports to another daemon the outcome of a call that has no response. */
  static void sendToDaemon(
      HttpServerExchange exchange,
      String requestIdentifier,
      AttemptOutcome outcome,
      String reason) {
    setStatusAndHeaders(
        exchange, requestIdentifier, outcome, StatusCodes.SERVICE_UNAVAILABLE, reason);
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
    endWithoutBody(exchange);
  }

  /** The server reads the rest of a request first, unless the connection is to be closed. */
  private static void endWithoutBody(HttpServerExchange exchange) {
    if (exchange.isPersistent() || exchange.isRequestComplete()) {
      exchange.endExchange();
    } else {
      ClosingResponse.send(exchange);
    }
  }

  /** Adds the load of an upstream to the response to another daemon. */
  static void addLoadHeader(HttpServerExchange exchange, LoadReport load) {
    putLoad(exchange.getResponseHeaders(), load);
  }

  static void putLoad(HeaderMap headers, LoadReport load) {
    headers.put(CallHeaders.LOAD, load.toString());
    load.pace().ifPresent(pace -> headers.put(CallHeaders.PACE, pace.toString()));
  }

  /** Reads the load of an upstream from the response of another daemon. */
  static Optional<LoadReport> readLoad(HeaderMap headers) {
    Optional<CallPace> pace =
        Optional.ofNullable(headers.getFirst(CallHeaders.PACE)).flatMap(CallPace::parse);
    return Optional.ofNullable(headers.getFirst(CallHeaders.LOAD))
        .flatMap(LoadReport::parse)
        .map(load -> load.withPace(pace));
  }

  private static void setStatusAndHeaders(
      HttpServerExchange exchange,
      String requestIdentifier,
      AttemptOutcome outcome,
      int status,
      String reason) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(CallHeaders.REQUEST_IDENTIFIER, requestIdentifier);
    exchange.getResponseHeaders().put(CallHeaders.OUTCOME, outcome.toString());
    exchange.getResponseHeaders().put(CallHeaders.REASON, reason);
  }
}
