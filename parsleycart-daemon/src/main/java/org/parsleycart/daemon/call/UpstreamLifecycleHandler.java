package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.membership.DepartedProcess;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.model.document.Problem;
import org.tinylog.Logger;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Handles heartbeats and deregistrations of upstreams, and readiness checks of the daemon. */
public final class UpstreamLifecycleHandler implements HttpHandler {
  private static final String EMPTY_BODY = "{}";

  /** Shorter than the second for which the sender of a heartbeat waits. */
  private static final int ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS = 800;

  /**
   * Heartbeats have a few hundred bytes. Larger ones up to this are still answered as malformed.
   */
  private static final int MAXIMUM_HEARTBEAT_BYTES = 1024 * 1024;

  private final Dialect dialect;
  private final LocalUpstreams upstreams;
  private final DepartureStore departures;
  private final MeshState state;
  private final HttpHandler fallback;

  // -- construction

  /**
   * Creates a handler.
   *
   * @param dialect defines the paths of heartbeats, deregistrations and readiness checks
   * @param upstreams receives the heartbeats and deregistrations
   * @param departures stores departures before they are acknowledged
   * @param state determines whether the daemon is ready
   * @param fallback handles all other requests
   */
  public UpstreamLifecycleHandler(
      Dialect dialect,
      LocalUpstreams upstreams,
      DepartureStore departures,
      MeshState state,
      HttpHandler fallback) {
    this.dialect = requireNonNull(dialect, "dialect is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.departures = requireNonNull(departures, "departures is null");
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
      BodyReceiver.receive(
          exchange,
          MAXIMUM_HEARTBEAT_BYTES,
          (receiver, body) -> receiveHeartbeat(receiver, heartbeatSender.get(), body),
          status -> respond(exchange, status));
    } else if (deregisteringUpstream.isPresent()) {
      respondOnceStored(exchange, upstreams.deregister(deregisteringUpstream.get()));
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
              if (heartbeat.upstream().draining()) {
                respondOnceStored(exchange, DepartedProcess.of(heartbeat));
              } else {
                respond(exchange, StatusCodes.OK);
              }
            })
        .peekLeft(problems -> reject(exchange, identifier, problems));
  }

  private static void reject(
      HttpServerExchange exchange, String identifier, List<Problem> problems) {
    Logger.info("malformed heartbeat of upstream {} rejected: {}", identifier, problems);
    respond(exchange, StatusCodes.BAD_REQUEST);
  }

  /**
   * Acknowledges a departure once it is stored, because an acknowledgement binds this daemon also
   * after a restart. Answers without success once the sender has stopped waiting.
   */
  private void respondOnceStored(HttpServerExchange exchange, DepartedProcess departed) {
    CallDispatch.run(
        exchange,
        () -> {
          XnioIoThread thread = exchange.getIoThread();
          XnioExecutor.Key timeout =
              thread.executeAfter(
                  () -> respondUnlessEnded(exchange, StatusCodes.SERVICE_UNAVAILABLE),
                  ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS,
                  TimeUnit.MILLISECONDS);
          departures.store(
              departed,
              () ->
                  thread.execute(
                      () -> {
                        timeout.remove();
                        respondUnlessEnded(exchange, StatusCodes.OK);
                      }));
        });
  }

  private static void respondUnlessEnded(HttpServerExchange exchange, int status) {
    if (!exchange.isResponseStarted()) {
      respond(exchange, status);
    }
  }

  private static void respond(HttpServerExchange exchange, int status) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(EMPTY_BODY);
  }
}
