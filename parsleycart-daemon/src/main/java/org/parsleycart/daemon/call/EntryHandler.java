package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.opentelemetry.api.trace.SpanKind;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.ReadDelay;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.RetryAfterDelay;
import org.parsleycart.decision.routing.DestinationSelection;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Route;
import org.parsleycart.model.Service;
import org.parsleycart.model.document.Document;

/** Takes calls from callers, finds their route and follows them to their answer. */
public final class EntryHandler implements HttpHandler {
  /** What a caller that states no deadline is taken to wait at most. */
  private static final Duration LONGEST_WAIT = Duration.ofMinutes(5);

  private final EntryDependencies parts;

  // -- construction

  /** Creates the handler. */
  public EntryHandler(EntryDependencies parts) {
    this.parts = requireNonNull(parts, "parts is null");
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    CallDispatch.run(exchange, () -> take(exchange));
  }

  private void take(HttpServerExchange exchange) {
    ReadDelay delay = parts.readDelays().recordRequest(exchange);
    Instant now = parts.clock().instant();
    Instant arrivedAt = now.minus(delay.waitingTime(now));
    String identifier = identifierOf(exchange);
    MeshState state = parts.state();
    Configuration configuration = state.configuration();
    Optional<Route> route =
        configuration.routeFor(hostOf(exchange), exchange.getRequestPath(), state.labels());
    Optional<Service> service =
        route
            .map(found -> DestinationSelection.choose(found, parts.random().get()))
            .flatMap(configuration::service);
    Optional<Contract> contract = route.flatMap(each -> configuration.contract(each.contract()));
    Optional<Instant> deadline = contract.map(each -> deadline(exchange, each, arrivedAt));
    Optional<RefusalReason> refusal =
        fault(exchange, configuration)
            .or(() -> refusal(state, service, contract))
            .or(() -> overload(delay, configuration, contract.get(), deadline.get(), now));
    if (refusal.isPresent()) {
      refuse(exchange, identifier, refusal.get(), arrivedAt);
      return;
    }
    CallTracing.CallSpan span = startSpan(exchange, identifier, route.get());
    RoutedRequest request =
        new RoutedRequest(
            identifier,
            configuration,
            route.get(),
            contract.get(),
            service.get(),
            arrivedAt,
            deadline.get());
    new EntryCall(parts, exchange, request, span).start();
  }

  private CallTracing.CallSpan startSpan(
      HttpServerExchange exchange, String identifier, Route route) {
    Optional<String> parent =
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(CallHeaders.TRACE_PARENT));
    return parts
        .tracing()
        .startSpan("entry", SpanKind.SERVER, parent)
        .with("parsleycart.route", route.name())
        .with("parsleycart.request", identifier);
  }

  private Optional<RefusalReason> fault(HttpServerExchange exchange, Configuration configuration) {
    return exchange.isHostIncludedInRequestURI()
        ? Optional.of(RefusalReason.BAD_REQUEST)
        : RequestValidation.refusalReason(
            exchange, configuration.callerLimits(), parts.limits().maximumBodyBytes());
  }

  private static Optional<RefusalReason> refusal(
      MeshState state, Optional<Service> service, Optional<Contract> contract) {
    if (!state.isServing()) {
      return Optional.of(RefusalReason.NOT_READY);
    }
    if (state.isRefusingNewCalls()) {
      return Optional.of(RefusalReason.STOPPING);
    }
    return service.isPresent() && contract.isPresent()
        ? Optional.empty()
        : Optional.of(RefusalReason.NO_ROUTE);
  }

  private static Optional<RefusalReason> overload(
      ReadDelay delay,
      Configuration configuration,
      Contract contract,
      Instant deadline,
      Instant now) {
    return delay.wouldAnswerLate(usefulTime(configuration, contract, deadline, now), now)
        ? Optional.of(RefusalReason.OVERLOADED)
        : Optional.empty();
  }

  /**
   * Returns how long reads may take until a call is of little use. Calls with the shortest deadline
   * are those that upstreams make while they run others: they count until their deadline, and the
   * others only as long as those can still be answered.
   */
  private static Duration usefulTime(
      Configuration configuration, Contract contract, Instant deadline, Instant now) {
    Duration shortest = configuration.shortestDeadline().orElse(contract.deadline());
    if (contract.deadline().equals(shortest)) {
      return Duration.between(now, deadline);
    }
    Duration untilLate = Duration.between(now, contract.lateAt(deadline));
    return untilLate.compareTo(shortest) < 0 ? untilLate : shortest;
  }

  private void refuse(
      HttpServerExchange exchange, String identifier, RefusalReason reason, Instant arrivedAt) {
    parts.metrics().recordRefusal(reason);
    parts
        .metrics()
        .recordCall(AttemptOutcome.NOT_RUN, Duration.between(arrivedAt, parts.clock().instant()));
    parts
        .log()
        .write(
            "call-refused",
            identifier,
            Document.mapping()
                .with("reason", reason.toString())
                .with("status", reason.statusCode())
                .with("host", hostOf(exchange).orElse(""))
                .with("path", exchange.getRequestPath())
                .with("configuration", parts.state().configuration().version()));
    Duration retryAfter = RetryAfterDelay.of(statedTime(exchange), parts.random().get());
    parts.responses().sendNotRun(exchange, identifier, reason, retryAfter);
  }

  private static Optional<String> hostOf(HttpServerExchange exchange) {
    String name = exchange.getHostName();
    return Optional.ofNullable(name).filter(each -> !each.isEmpty());
  }

  private Instant deadline(HttpServerExchange exchange, Contract contract, Instant arrivedAt) {
    Duration stated = statedTime(exchange);
    boolean shorter = stated.compareTo(contract.deadline()) < 0;
    return arrivedAt.plus(shorter ? stated : contract.deadline());
  }

  /** Returns how long the caller says that it waits. */
  private Duration statedTime(HttpServerExchange exchange) {
    return CallHeaders.milliseconds(
            exchange.getRequestHeaders(), parts.dialect().headers().deadline())
        .orElse(LONGEST_WAIT);
  }

  private String identifierOf(HttpServerExchange exchange) {
    String named =
        parts.dialect().isRequestIdentifiedByCaller()
            ? exchange.getRequestHeaders().getFirst(parts.dialect().headers().requestIdentifier())
            : null;
    return Optional.ofNullable(named).orElseGet(this::newRequestIdentifier);
  }

  private String newRequestIdentifier() {
    return new UUID(parts.random().get().nextLong(), parts.random().get().nextLong()).toString();
  }
}
