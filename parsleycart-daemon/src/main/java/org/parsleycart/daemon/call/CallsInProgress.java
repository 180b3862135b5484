package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the calls taken from callers that have not been answered, so that a stop cuts none. */
public final class CallsInProgress {
  private final AtomicInteger count = new AtomicInteger();
  private volatile boolean closing;

  // -- construction

  /** Returns a handler that counts the calls that it passes on. */
  public CountingHandler countingHandler(HttpHandler next) {
    return new CountingHandler(requireNonNull(next, "next is null"));
  }

  // -- queries

  /** Returns the number of calls in progress. */
  public int count() {
    return count.get();
  }

  /** Asks callers to open no more calls on their connections. */
  public void closeConnectionsAfterResponse() {
    closing = true;
  }

  /** The counting handler. */
  public final class CountingHandler implements HttpHandler {
    private final HttpHandler next;

    private CountingHandler(HttpHandler next) {
      this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
      count.incrementAndGet();
      if (closing) {
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        exchange.setPersistent(false);
      }
      exchange.addExchangeCompleteListener(
          (ended, following) -> {
            count.decrementAndGet();
            following.proceed();
          });
      next.handleRequest(exchange);
    }
  }
}
