package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.Locale;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/** Writes answers that come from the mesh itself. */
public final class MeshResponses {
  private static final String UNKNOWN_REASON = "no-whole-answer";
  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
  private static final double MILLISECONDS_PER_SECOND = 1000;

  private final Dialect dialect;

  // -- construction

  /** Creates the writer of answers to callers of the dialect. */
  public MeshResponses(Dialect dialect) {
    this.dialect = requireNonNull(dialect, "dialect is null");
  }

  // -- to callers

  /** Tells a caller that its request did not run, and when to come back. */
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
    toCaller(exchange, requestIdentifier, AttemptOutcome.NOT_RUN, status, reason.toString());
  }

  /** Tells a caller that its request may have run. */
  void sendUnknown(HttpServerExchange exchange, String requestIdentifier, boolean late) {
    int status = late ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
    toCaller(exchange, requestIdentifier, AttemptOutcome.UNKNOWN, status, UNKNOWN_REASON);
  }

  private void toCaller(
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
      exchange.endExchange();
      return;
    }
    String body =
        JsonDocuments.format(
            Document.mapping()
                .with("outcome", outcome.toString())
                .with("reason", reason)
                .with("request", requestIdentifier)
                .build());
    mark(exchange, requestIdentifier, outcome, status, reason);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body);
  }

  /** Marks an answer of an upstream for callers who look for headers of the mesh. */
  void addAnsweredHeaders(HttpServerExchange exchange, String requestIdentifier, String zone) {
    if (!dialect.isRequestIdentifiedByCaller()) {
      HeaderMap headers = exchange.getResponseHeaders();
      headers.put(CallHeaders.REQUEST_IDENTIFIER, requestIdentifier);
      headers.put(CallHeaders.OUTCOME, AttemptOutcome.ANSWERED.toString());
      headers.put(CallHeaders.ZONE, zone);
    }
  }

  // -- to daemons

  /** Tells another daemon how a call ended that has no answer. */
  static void sendToDaemon(
      HttpServerExchange exchange,
      String requestIdentifier,
      AttemptOutcome outcome,
      String reason) {
    mark(exchange, requestIdentifier, outcome, StatusCodes.SERVICE_UNAVAILABLE, reason);
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
    exchange.endExchange();
  }

  /** Tells another daemon the load of an upstream with whatever answer follows. */
  static void addLoadHeader(HttpServerExchange exchange, LoadReport load) {
    exchange.getResponseHeaders().put(CallHeaders.LOAD, load.toString());
  }

  private static void mark(
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
