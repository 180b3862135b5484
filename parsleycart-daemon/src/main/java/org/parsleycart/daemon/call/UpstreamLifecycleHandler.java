package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Optional;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.model.document.Problem;
import org.tinylog.Logger;

/** Handles heartbeats and deregistrations of upstreams, and readiness checks of the daemon. */
public final class UpstreamLifecycleHandler implements HttpHandler {
  private static final String EMPTY_ANSWER = "{}";

  private final Dialect dialect;
  private final LocalUpstreams upstreams;
  private final MeshState state;
  private final HttpHandler others;

  // -- construction

  /**
   * Creates a handler.
   *
   * @param dialect tells heartbeats, departures and checks by their paths
   * @param upstreams takes what upstreams say
   * @param state tells whether the daemon is ready
   * @param others takes all other requests
   */
  public UpstreamLifecycleHandler(
      Dialect dialect, LocalUpstreams upstreams, MeshState state, HttpHandler others) {
    this.dialect = requireNonNull(dialect, "dialect is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.state = requireNonNull(state, "state is null");
    this.others = requireNonNull(others, "others is null");
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestPath();
    Optional<String> sender = dialect.heartbeatSender(path);
    Optional<String> departing = dialect.deregisteringUpstream(path);
    if (path.equals(dialect.readinessPath())) {
      answer(exchange, state.isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
      others.handleRequest(exchange);
    } else if (sender.isPresent()) {
      exchange
          .getRequestReceiver()
          .receiveFullBytes((read, body) -> take(read, sender.get(), body));
    } else if (departing.isPresent()) {
      upstreams.deregister(departing.get());
      answer(exchange, StatusCodes.OK);
    } else {
      others.handleRequest(exchange);
    }
  }

  private void take(HttpServerExchange exchange, String identifier, byte[] body) {
    dialect
        .heartbeat(identifier, body)
        .peek(
            heartbeat -> {
              upstreams.receiveHeartbeat(heartbeat);
              answer(exchange, StatusCodes.OK);
            })
        .peekLeft(problems -> reject(exchange, identifier, problems));
  }

  private static void reject(
      HttpServerExchange exchange, String identifier, List<Problem> problems) {
    Logger.info("heartbeat of {} cannot be read: {}", identifier, problems);
    answer(exchange, StatusCodes.BAD_REQUEST);
  }

  private static void answer(HttpServerExchange exchange, int status) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(EMPTY_ANSWER);
  }
}
