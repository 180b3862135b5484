package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.parsleycart.decision.Outcome;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;

/** Writes answers that come from the mesh itself. */
final class Refusals {
  private static final String UNKNOWN_REASON = "no-whole-answer";

  private Refusals() {}

  /** Tells a caller that its request did not run. */
  static void notRun(HttpServerExchange exchange, String requestIdentifier, RefusalReason reason) {
    int status = reason.statusCode();
    toCaller(exchange, requestIdentifier, Outcome.NOT_RUN, status, reason.toString());
  }

  /** Tells a caller that its request may have run. */
  static void unknown(HttpServerExchange exchange, String requestIdentifier, boolean late) {
    int status = late ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
    toCaller(exchange, requestIdentifier, Outcome.UNKNOWN, status, UNKNOWN_REASON);
  }

  private static void toCaller(
      HttpServerExchange exchange,
      String requestIdentifier,
      Outcome outcome,
      int status,
      String reason) {
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

  /** Tells another daemon how a call ended that has no answer. */
  static void toDaemon(
      HttpServerExchange exchange, String requestIdentifier, Outcome outcome, String reason) {
    mark(exchange, requestIdentifier, outcome, StatusCodes.SERVICE_UNAVAILABLE, reason);
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
    exchange.endExchange();
  }

  private static void mark(
      HttpServerExchange exchange,
      String requestIdentifier,
      Outcome outcome,
      int status,
      String reason) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(CallHeaders.REQUEST_IDENTIFIER, requestIdentifier);
    exchange.getResponseHeaders().put(CallHeaders.OUTCOME, outcome.toString());
    exchange.getResponseHeaders().put(CallHeaders.REASON, reason);
  }
}
