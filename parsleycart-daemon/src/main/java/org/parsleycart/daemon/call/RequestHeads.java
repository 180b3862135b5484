package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.Collection;
import java.util.Deque;
import java.util.Map;
import org.parsleycart.decision.protection.HeadCost;

/** What the parsed heads of requests hold. */
final class RequestHeads {
  private RequestHeads() {}

  /** Returns the estimated heap in bytes that the head of a request occupies. */
  static long heapBytes(HttpServerExchange exchange) {
    long bytes = exchange.getRequestURI().length();
    bytes += exchange.getQueryString().length();
    long fields = 0;
    for (HeaderValues values : exchange.getRequestHeaders()) {
      fields += values.size();
      for (String value : values) {
        bytes += values.getHeaderName().length() + value.length();
      }
    }
    long parameters = count(exchange.getQueryParameters()) + count(exchange.getPathParameters());
    return HeadCost.of(bytes, fields, parameters);
  }

  private static long count(Map<String, Deque<String>> parameters) {
    return parameters.values().stream().mapToLong(Collection::size).sum();
  }

  /** Discards the parsed parameters of a request. They remain in its query and its path. */
  static void discardParameters(HttpServerExchange exchange) {
    exchange.getQueryParameters().clear();
    exchange.getPathParameters().clear();
  }
}
