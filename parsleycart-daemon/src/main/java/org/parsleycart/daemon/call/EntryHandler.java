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
import org.parsleycart.decision.Outcome;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Route;
import org.parsleycart.model.Service;

/** Takes calls from callers, finds their route and follows them to their answer. */
public final class EntryHandler implements HttpHandler {
  private final EntryParts parts;

  // -- construction

  /** Creates the handler. */
  public EntryHandler(EntryParts parts) {
    this.parts = requireNonNull(parts, "parts is null");
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    CallDispatch.run(exchange, () -> take(exchange));
  }

  private void take(HttpServerExchange exchange) {
    Instant arrivedAt = parts.clock().instant();
    String identifier = newRequestIdentifier();
    MeshState state = parts.state();
    Configuration configuration = state.configuration();
    Optional<RefusalReason> fault =
        exchange.isHostIncludedInRequestURI()
            ? Optional.of(RefusalReason.BAD_REQUEST)
            : RequestFraming.fault(exchange, parts.limits().maximumBodyBytes());
    Optional<Route> route = configuration.routeFor(exchange.getRequestPath(), state.labels());
    Optional<Service> service = route.flatMap(each -> configuration.service(each.service()));
    Optional<Contract> contract = route.flatMap(each -> configuration.contract(each.contract()));
    Optional<RefusalReason> refusal = fault.or(() -> refusal(state, service, contract));
    if (refusal.isPresent()) {
      refuse(exchange, identifier, refusal.get(), arrivedAt);
      return;
    }
    CallTracing.CallSpan span =
        parts
            .tracing()
            .startSpan(
                "entry",
                SpanKind.SERVER,
                Optional.ofNullable(
                    exchange.getRequestHeaders().getFirst(CallHeaders.TRACE_PARENT)))
            .with("parsleycart.route", route.get().name())
            .with("parsleycart.request", identifier);
    Instant deadline = deadline(exchange, contract.get(), arrivedAt);
    EntryCall call =
        new EntryCall(
            parts, exchange, identifier, route.get(), contract.get(), arrivedAt, deadline, span);
    call.start();
  }

  private static Optional<RefusalReason> refusal(
      MeshState state, Optional<Service> service, Optional<Contract> contract) {
    if (!state.isServing()) {
      return Optional.of(RefusalReason.NOT_READY);
    }
    return service.isPresent() && contract.isPresent()
        ? Optional.empty()
        : Optional.of(RefusalReason.NO_ROUTE);
  }

  private void refuse(
      HttpServerExchange exchange, String identifier, RefusalReason reason, Instant arrivedAt) {
    parts.metrics().refused(reason);
    parts.metrics().ended(Outcome.NOT_RUN, Duration.between(arrivedAt, parts.clock().instant()));
    Refusals.notRun(exchange, identifier, reason);
  }

  private static Instant deadline(
      HttpServerExchange exchange, Contract contract, Instant arrivedAt) {
    String text = exchange.getRequestHeaders().getFirst(CallHeaders.DEADLINE);
    boolean stated = text != null && text.matches("[0-9]{1,9}");
    Duration stricter = stated ? Duration.ofMillis(Long.parseLong(text)) : contract.deadline();
    boolean shorter = stricter.compareTo(contract.deadline()) < 0;
    return arrivedAt.plus(shorter ? stricter : contract.deadline());
  }

  private String newRequestIdentifier() {
    return new UUID(parts.random().get().nextLong(), parts.random().get().nextLong()).toString();
  }
}
