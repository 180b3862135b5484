package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.opentelemetry.api.trace.SpanKind;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
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
import org.parsleycart.model.Organisation;
import org.parsleycart.model.Route;
import org.parsleycart.model.Service;
import org.parsleycart.model.document.Document;

/** Handles calls from callers: finds their route, checks them and starts them. */
public final class EntryHandler implements HttpHandler {
  /** The assumed waiting time of a caller that states no deadline. */
  private static final Duration DEFAULT_WAIT = Duration.ofMinutes(5);

  private final EntryDependencies dependencies;

  // -- construction

  public EntryHandler(EntryDependencies dependencies) {
    this.dependencies = requireNonNull(dependencies, "dependencies is null");
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    CallDispatch.run(exchange, () -> handle(exchange));
  }

  private void handle(HttpServerExchange exchange) {
    ReadDelay readDelay = dependencies.readDelays().recordRequest(exchange);
    Instant now = dependencies.clock().instant();
    Duration connectionWait = connectionWait(exchange, now);
    Instant arrivedAt = now.minus(readDelay.waitingTime(now));
    String identifier = requestIdentifierOf(exchange);
    MeshState state = dependencies.state();
    Configuration configuration = state.configuration();
    Optional<Route> route =
        configuration.routeFor(hostOf(exchange), exchange.getRequestPath(), state.labels());
    Optional<Service> service =
        route
            .map(found -> DestinationSelection.choose(found, dependencies.random().get()))
            .flatMap(configuration::service);
    Optional<Contract> contract = route.flatMap(found -> configuration.contract(found.contract()));
    Optional<PipelineLane> lane = laneToWaitIn(exchange, contract);
    if (lane.isPresent()) {
      lane.get().whenFirst(() -> handle(exchange));
      return;
    }
    Optional<Instant> deadline = contract.map(found -> deadline(exchange, found, arrivedAt));
    boolean isNested = dependencies.admission().mayBeNested(arrivedAt.plus(statedWait(exchange)));
    Either<RefusalReason, Optional<Organisation>> caller =
        invalidRequest(exchange, configuration)
            .or(() -> leavingRoute(exchange, configuration, state, route))
            .or(() -> refusal(state, service, contract))
            .map(Either::<RefusalReason, Optional<Organisation>>left)
            .orElseGet(
                () ->
                    dependencies
                        .authentication()
                        .authenticate(exchange, configuration, route.get()));
    Optional<RefusalReason> refusal =
        caller.fold(
            Optional::of,
            accepted ->
                overload(readDelay, configuration, contract.get(), isNested, deadline.get(), now));
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
            caller.get(),
            arrivedAt,
            connectionWait,
            isNested,
            deadline.get());
    new EntryCall(dependencies, exchange, request, span).start();
  }

  /**
   * Returns the lane of a request that arrived before earlier ones have been answered and must not
   * run twice. A caller whose connection is closed before an answer takes such a request for one
   * that has not begun.
   */
  private static Optional<PipelineLane> laneToWaitIn(
      HttpServerExchange exchange, Optional<Contract> contract) {
    boolean isIdempotent = contract.filter(found -> !found.requestKind().isIdempotent()).isEmpty();
    return isIdempotent
        ? Optional.empty()
        : DisconnectDetectingConduit.laneOf(exchange).filter(lane -> !lane.isFirst());
  }

  private Duration connectionWait(HttpServerExchange exchange, Instant now) {
    Duration wait =
        DisconnectDetectingConduit.guardOf(exchange)
            .flatMap(GuardedConnection::pipelinedSince)
            .map(since -> Duration.between(since, now))
            .orElse(Duration.ZERO);
    if (!wait.isZero()) {
      dependencies.metrics().recordConnectionWait(wait);
    }
    return wait;
  }

  /** Refuses a call that has not run, because clients hold too much memory already. */
  public void refuseForMemory(HttpServerExchange exchange) {
    refuse(
        exchange,
        requestIdentifierOf(exchange),
        RefusalReason.MEMORY_FULL,
        dependencies.clock().instant());
  }

  private CallTracing.CallSpan startSpan(
      HttpServerExchange exchange, String identifier, Route route) {
    Optional<String> parent =
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(CallHeaders.TRACE_PARENT));
    return dependencies
        .tracing()
        .startSpan("entry", SpanKind.SERVER, parent)
        .with("parsleycart.route", route.name())
        .with("parsleycart.request", identifier);
  }

  private Optional<RefusalReason> invalidRequest(
      HttpServerExchange exchange, Configuration configuration) {
    return exchange.isHostIncludedInRequestURI()
        ? Optional.of(RefusalReason.BAD_REQUEST)
        : RequestValidation.refusalReason(
            exchange, configuration.callerLimits(), dependencies.limits().maximumBodyBytes());
  }

  /** Refuses a path whose dot segments lead out of the route that it was matched with. */
  private static Optional<RefusalReason> leavingRoute(
      HttpServerExchange exchange,
      Configuration configuration,
      MeshState state,
      Optional<Route> route) {
    String path = exchange.getRequestPath();
    if (!RequestValidation.hasDotSegments(path)) {
      return Optional.empty();
    }
    String resolved = RequestValidation.withoutDotSegments(path);
    return configuration.routeFor(hostOf(exchange), resolved, state.labels()).equals(route)
        ? Optional.empty()
        : Optional.of(RefusalReason.BAD_REQUEST);
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
      ReadDelay readDelay,
      Configuration configuration,
      Contract contract,
      boolean isNested,
      Instant deadline,
      Instant now) {
    Duration usefulTime =
        isNested
            ? Duration.between(now, deadline)
            : usefulTime(configuration, contract, deadline, now);
    return readDelay.wouldAnswerLate(usefulTime, now)
        ? Optional.of(RefusalReason.OVERLOADED)
        : Optional.empty();
  }

  /**
   * Returns the time within which a call must be read to be useful. Upstreams make the calls with
   * the shortest deadline while they run other calls, so these are useful until their deadline.
   * Other calls are useful until they are late, but no longer than the shortest deadline: beyond
   * that, calls with the shortest deadline could not be answered any more.
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
    dependencies.metrics().recordRefusal(reason);
    dependencies
        .metrics()
        .recordCall(
            AttemptOutcome.NOT_RUN, Duration.between(arrivedAt, dependencies.clock().instant()));
    dependencies
        .log()
        .write(
            "call-refused",
            identifier,
            Document.mapping()
                .with("reason", reason.toString())
                .with("status", reason.statusCode())
                .with("host", hostOf(exchange).orElse(""))
                .with("path", exchange.getRequestPath())
                .with("configuration", dependencies.state().configuration().version()));
    if (reason == RefusalReason.BAD_REQUEST) {
      // Where the body of such a request ends is uncertain, and so is where the next one begins.
      exchange.setPersistent(false);
    }
    Duration retryAfter = RetryAfterDelay.of(statedWait(exchange), dependencies.random().get());
    dependencies.responses().sendNotRun(exchange, identifier, reason, retryAfter);
  }

  private static Optional<String> hostOf(HttpServerExchange exchange) {
    String hostName = exchange.getHostName();
    return Optional.ofNullable(hostName).filter(name -> !name.isEmpty());
  }

  private Instant deadline(HttpServerExchange exchange, Contract contract, Instant arrivedAt) {
    Duration stated = statedWait(exchange);
    boolean isShorter = stated.compareTo(contract.deadline()) < 0;
    return arrivedAt.plus(isShorter ? stated : contract.deadline());
  }

  /** Returns how long the caller waits, {@link #DEFAULT_WAIT} if it does not state it. */
  private Duration statedWait(HttpServerExchange exchange) {
    return CallHeaders.milliseconds(
            exchange.getRequestHeaders(), dependencies.dialect().headers().deadline())
        .orElse(DEFAULT_WAIT);
  }

  private String requestIdentifierOf(HttpServerExchange exchange) {
    String stated =
        dependencies.dialect().isRequestIdentifiedByCaller()
            ? exchange
                .getRequestHeaders()
                .getFirst(dependencies.dialect().headers().requestIdentifier())
            : null;
    return Optional.ofNullable(stated).orElseGet(this::newRequestIdentifier);
  }

  private String newRequestIdentifier() {
    return new UUID(dependencies.random().get().nextLong(), dependencies.random().get().nextLong())
        .toString();
  }
}
