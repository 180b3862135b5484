package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.tinylog.Logger;

/** Dispatches exchanges, so that the server does not end them when its handler returns. */
final class CallDispatch {
  private CallDispatch() {}

  /** Runs the task on the input/output thread. Closes the connection if the task throws. */
  static void run(HttpServerExchange exchange, Runnable task) {
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> runGuarded(exchange, task));
  }

  private static void runGuarded(HttpServerExchange exchange, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(
          e,
          "unexpected error while handling {} {}; closing the connection",
          exchange.getRequestMethod(),
          exchange.getRequestPath());
      ResponseFraming.abort(exchange);
    }
  }
}
