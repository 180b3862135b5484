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
  private static final String EMPTY_BODY = "{}";

  private final Dialect dialect;
  private final LocalUpstreams upstreams;
  private final MeshState state;
  private final HttpHandler fallback;

  // -- construction

  /**
   * Creates a handler.
   *
   * @param dialect defines the paths of heartbeats, deregistrations and readiness checks
   * @param upstreams receives the heartbeats and deregistrations
   * @param state determines whether the daemon is ready
   * @param fallback handles all other requests
   */
  public UpstreamLifecycleHandler(
      Dialect dialect, LocalUpstreams upstreams, MeshState state, HttpHandler fallback) {
    this.dialect = requireNonNull(dialect, "dialect is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.state = requireNonNull(state, "state is null");
    this.fallback = requireNonNull(fallback, "fallback is null");
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestPath();
    Optional<String> heartbeatSender = dialect.heartbeatSender(path);
    Optional<String> deregisteringUpstream = dialect.deregisteringUpstream(path);
    if (path.equals(dialect.readinessPath())) {
      respond(exchange, state.isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
      fallback.handleRequest(exchange);
    } else if (heartbeatSender.isPresent()) {
      exchange
          .getRequestReceiver()
          .receiveFullBytes(
              (receiver, body) -> receiveHeartbeat(receiver, heartbeatSender.get(), body));
    } else if (deregisteringUpstream.isPresent()) {
      upstreams.deregister(deregisteringUpstream.get());
      respond(exchange, StatusCodes.OK);
    } else {
      fallback.handleRequest(exchange);
    }
  }

  private void receiveHeartbeat(HttpServerExchange exchange, String identifier, byte[] body) {
    dialect
        .heartbeat(identifier, body)
        .peek(
            heartbeat -> {
              upstreams.receiveHeartbeat(heartbeat);
              respond(exchange, StatusCodes.OK);
            })
        .peekLeft(problems -> reject(exchange, identifier, problems));
  }

  private static void reject(
      HttpServerExchange exchange, String identifier, List<Problem> problems) {
    Logger.info("malformed heartbeat of upstream {} rejected: {}", identifier, problems);
    respond(exchange, StatusCodes.BAD_REQUEST);
  }

  private static void respond(HttpServerExchange exchange, int status) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(EMPTY_BODY);
  }
}
