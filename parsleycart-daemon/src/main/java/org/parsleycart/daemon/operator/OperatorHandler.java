package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.parsleycart.daemon.call.BodyReceiver;
import org.tinylog.Logger;

/** Dispatches each request to an action by its method and path, and writes the response. */
public final class OperatorHandler implements HttpHandler {
  private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

  /** A response is in memory as text and as bytes until its client has read it. */
  private static final long RESPONSE_COPIES = 2;

  private static final String WILDCARD = "*";

  private final List<Action> actions;

  /**
   * The action for requests with one method and path. In the path, {@code *} matches any segment.
   */
  private record Action(
      String method, List<String> path, Function<OperatorRequest, OperatorResponse> action) {

    boolean matches(String actualMethod, List<String> actualPath) {
      return method.equals(actualMethod)
          && path.size() == actualPath.size()
          && matchesPath(actualPath);
    }

    private boolean matchesPath(List<String> actualPath) {
      for (int index = 0; index < path.size(); index++) {
        if (!path.get(index).equals(WILDCARD) && !path.get(index).equals(actualPath.get(index))) {
          return false;
        }
      }
      return true;
    }
  }

  // -- construction

  /** Creates the handler with its table of actions. */
  public OperatorHandler(
      ConfigurationActions configuration,
      RolloutActions rollouts,
      StatusActions status,
      ExplainActions explanations,
      UpstreamActions upstreams) {
    requireNonNull(configuration, "configuration is null");
    this.actions =
        List.of(
            action("GET /healthz", request -> OperatorResponse.text(StatusCodes.OK, "alive\n")),
            action("GET /readyz", status::readiness),
            action("GET /metrics", status::metrics),
            action("GET /status", status::status),
            action("GET /events", status::events),
            action("GET /in-force", status::inForce),
            action("GET /explain", explanations::explain),
            action("GET /configuration", configuration::read),
            action("GET /history", configuration::history),
            action("POST /changes", configuration::accept),
            action("POST /validate", configuration::validate),
            action("POST /zones/*/withdraw", configuration::withdrawZone),
            action("POST /zones/*/return", configuration::returnZone),
            action("POST /rollouts", rollouts::start),
            action("GET /rollouts/*", rollouts::read),
            action("POST /rollouts/*/abort", rollouts::abort),
            action("PUT /upstreams/*", upstreams::announce),
            action("POST /upstreams/*/drain", upstreams::drain),
            action("DELETE /upstreams/*", upstreams::leave));
  }

  private static Action action(
      String methodAndPath, Function<OperatorRequest, OperatorResponse> action) {
    int space = methodAndPath.indexOf(' ');
    return new Action(
        methodAndPath.substring(0, space), segments(methodAndPath.substring(space + 1)), action);
  }

  private static List<String> segments(String path) {
    return Arrays.stream(path.split("/", -1)).filter(segment -> !segment.isEmpty()).toList();
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    List<String> path = segments(exchange.getRequestPath());
    String method = exchange.getRequestMethod().toString();
    Optional<Action> action =
        actions.stream().filter(each -> each.matches(method, path)).findFirst();
    if (action.isEmpty()) {
      String message = "unsupported request: " + method + " " + exchange.getRequestPath();
      send(exchange, OperatorResponse.error(StatusCodes.NOT_FOUND, message, List.of()));
      return;
    }
    // A worker thread starts only when the body is there. A client that stops sending holds none.
    BodyReceiver.receive(
        exchange,
        MAXIMUM_BODY_BYTES,
        (received, body) ->
            received.dispatch(
                () ->
                    send(
                        received,
                        perform(
                            action.get(),
                            new OperatorRequest(
                                method,
                                path,
                                query(received),
                                new String(body, StandardCharsets.UTF_8))))),
        status -> send(exchange, refusal(status)));
  }

  /** Refuses a request that has not run, because clients hold too much memory already. */
  public static void refuseForMemory(HttpServerExchange exchange) {
    send(exchange, refusal(StatusCodes.SERVICE_UNAVAILABLE));
  }

  private static void send(HttpServerExchange exchange, OperatorResponse response) {
    if (!BodyReceiver.tryHold(exchange, RESPONSE_COPIES * response.body().length())) {
      exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
      exchange.endExchange();
      return;
    }
    exchange.setStatusCode(response.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
    exchange.getResponseSender().send(response.body());
  }

  private static OperatorResponse refusal(int status) {
    String message =
        switch (status) {
          case StatusCodes.REQUEST_ENTITY_TOO_LARGE ->
              "request body exceeds " + MAXIMUM_BODY_BYTES + " bytes";
          case StatusCodes.SERVICE_UNAVAILABLE -> "clients hold too much memory; try again later";
          default -> "request body could not be read completely";
        };
    return OperatorResponse.error(status, message, List.of());
  }

  private static OperatorResponse perform(Action action, OperatorRequest request) {
    try {
      return action.action().apply(request);
    } catch (RuntimeException e) {
      Logger.error(e, "operator request {} {} failed", request.method(), request.segments());
      return OperatorResponse.error(
          StatusCodes.INTERNAL_SERVER_ERROR,
          "internal error in the daemon; see its log",
          List.of());
    }
  }

  private static Map<String, String> query(HttpServerExchange exchange) {
    Map<String, String> query = new HashMap<>();
    exchange.getQueryParameters().forEach((name, values) -> query.put(name, values.getFirst()));
    return query;
  }
}
