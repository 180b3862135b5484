package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the calls of callers that are in progress, so that a shutdown can wait for them. */
public final class CallsInProgress {
  private final AtomicInteger count = new AtomicInteger();
  private volatile boolean closesConnections;

  // -- construction

  /** Returns a handler that counts each call until it completes, and delegates to another. */
  public CountingHandler countingHandler(HttpHandler next) {
    return new CountingHandler(requireNonNull(next, "next is null"));
  }

  // -- queries

  public int count() {
    return count.get();
  }

  /** Closes the connection of each later call once the call has been answered. */
  public void closeConnectionsAfterResponse() {
    closesConnections = true;
  }

  /** Counts the calls that it passes to the next handler. */
  public final class CountingHandler implements HttpHandler {
    private final HttpHandler next;

    private CountingHandler(HttpHandler next) {
      this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
      count.incrementAndGet();
      if (closesConnections) {
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        exchange.setPersistent(false);
      }
      exchange.addExchangeCompleteListener(
          (completed, nextListener) -> {
            count.decrementAndGet();
            nextListener.proceed();
          });
      next.handleRequest(exchange);
    }
  }
}
