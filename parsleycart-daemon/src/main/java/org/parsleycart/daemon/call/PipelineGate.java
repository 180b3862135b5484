package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds how many requests are handled at once that arrived before the previous response on their
 * connection was complete. Without it, clients that send requests ahead and read nothing take the
 * places of callers that wait for each response.
 *
 * <p>Requests beyond the bound wait in the order of their arrival, at most one for each connection.
 * Thread-safe.
 */
final class PipelineGate {
  private final int maximum;
  private final Deque<Request> waiting = new ArrayDeque<>();
  private final Set<Request> running = new HashSet<>();

  /** A pipelined request and what starts it. Compared by identity. */
  private static final class Request {
    private final Runnable start;

    private Request(Runnable start) {
      this.start = start;
    }
  }

  // -- construction

  PipelineGate(int maximum) {
    this.maximum = maximum;
  }

  // -- queries

  /** Returns the number of requests that wait. */
  synchronized int waitingCount() {
    return waiting.size();
  }

  // -- requests

  /** Handles a pipelined request now or once there is a place. Called by a root handler. */
  void handle(HttpServerExchange exchange, HttpHandler handler) {
    requireNonNull(handler, "handler is null");
    Request request =
        new Request(
            () ->
                exchange
                    .getIoThread()
                    .execute(() -> Connectors.executeRootHandler(handler, exchange)));
    // The exchange also completes when its connection is closed, in its place or before.
    exchange.addExchangeCompleteListener(
        (completed, nextListener) -> {
          leave(request);
          nextListener.proceed();
        });
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () -> {
          if (tryEnter(request)) {
            Connectors.executeRootHandler(handler, exchange);
          }
        });
  }

  /**
   * Takes a place without waiting.
   *
   * @return what releases the place, empty if there is none
   */
  Optional<Runnable> tryEnter() {
    Request place = new Request(() -> {});
    return tryEnterAtOnce(place) ? Optional.of(() -> leave(place)) : Optional.empty();
  }

  private synchronized boolean tryEnterAtOnce(Request place) {
    return running.size() < maximum && running.add(place);
  }

  /** Returns whether there is a place for the request. Otherwise it waits for one. */
  private synchronized boolean tryEnter(Request request) {
    boolean isEntering = tryEnterAtOnce(request);
    if (!isEntering) {
      waiting.addLast(request);
    }
    return isEntering;
  }

  private synchronized void leave(Request request) {
    if (!running.remove(request)) {
      waiting.remove(request);
      return;
    }
    Optional.ofNullable(waiting.pollFirst())
        .ifPresent(
            next -> {
              running.add(next);
              next.start.run();
            });
  }
}
