package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.opentelemetry.api.trace.SpanKind;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.Contract;
import org.xnio.IoUtils;

/** Takes calls from the entries of other daemons and asks for their admission. */
public final class AdmissionHandler implements HttpHandler {
  private static final Duration LONGEST_DEADLINE = Duration.ofMinutes(5);

  private final MeshState state;
  private final AdmissionService admission;
  private final CallSigner signature;
  private final CallTracing tracing;
  private final ReadDelays delays;
  private final InstantSource clock;
  private final int replayableBodyBytes;

  // -- construction

  /** Creates the handler. */
  public AdmissionHandler(
      MeshState state,
      AdmissionService admission,
      CallSigner signature,
      CallTracing tracing,
      ReadDelays delays,
      InstantSource clock,
      int replayableBodyBytes) {
    this.replayableBodyBytes = replayableBodyBytes;
    this.state = requireNonNull(state, "state is null");
    this.admission = requireNonNull(admission, "admission is null");
    this.signature = requireNonNull(signature, "signature is null");
    this.tracing = requireNonNull(tracing, "tracing is null");
    this.delays = requireNonNull(delays, "delays is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    CallDispatch.run(exchange, () -> take(exchange));
  }

  private void take(HttpServerExchange exchange) {
    Instant now = clock.instant();
    Instant arrivedAt = now.minus(delays.recordRequest(exchange).waitingTime(now));
    String identifier = header(exchange, CallHeaders.REQUEST_IDENTIFIER);
    String upstream = header(exchange, CallHeaders.UPSTREAM);
    String routeName = header(exchange, CallHeaders.ROUTE);
    String signed = header(exchange, CallHeaders.SIGNATURE);
    boolean trusted = signature.isValid(identifier, upstream, routeName, signed);
    Optional<Contract> contract = state.configuration().contractOfRoute(routeName);
    if (!trusted || contract.isEmpty()) {
      RefusalReason reason =
          trusted ? RefusalReason.OUTDATED_CONFIGURATION : RefusalReason.BAD_REQUEST;
      MeshResponses.sendToDaemon(exchange, identifier, AttemptOutcome.NOT_RUN, reason.toString());
      return;
    }
    CallTracing.CallSpan span =
        tracing
            .startSpan(
                "admission",
                SpanKind.SERVER,
                Optional.ofNullable(
                    exchange.getRequestHeaders().getFirst(CallHeaders.TRACE_PARENT)))
            .with("parsleycart.upstream", upstream);
    RequestBody.bufferOrStream(
        exchange,
        replayableBodyBytes,
        body ->
            submit(
                new LocalCall(
                    exchange,
                    body,
                    identifier,
                    upstream,
                    routeName,
                    contract.get(),
                    deadline(exchange, arrivedAt),
                    span.traceParent(),
                    Optional.empty(),
                    new Cancellation(),
                    new Answer(exchange, identifier, span)),
                span),
        cause -> abandon(exchange, span));
  }

  private void submit(LocalCall call, CallTracing.CallSpan span) {
    Cancellation cancellation = call.cancellation();
    if (call.body().isReplayable()) {
      DisconnectDetectingConduit.watch(call.exchange(), cancellation::cancel);
    }
    if (cancellation.isCancelled()) {
      abandon(call.exchange(), span);
    } else {
      admission.submit(call);
    }
  }

  private static void abandon(HttpServerExchange exchange, CallTracing.CallSpan span) {
    IoUtils.safeClose(exchange.getConnection());
    span.end(AttemptOutcome.NOT_RUN);
  }

  private static Instant deadline(HttpServerExchange exchange, Instant arrivedAt) {
    Duration stated =
        CallHeaders.milliseconds(exchange.getRequestHeaders(), CallHeaders.DEADLINE)
            .orElse(Duration.ZERO);
    return arrivedAt.plusMillis(Math.min(stated.toMillis(), LONGEST_DEADLINE.toMillis()));
  }

  private static String header(HttpServerExchange exchange, HttpString name) {
    HeaderMap headers = exchange.getRequestHeaders();
    String value = headers.getFirst(name);
    return value == null ? "" : value;
  }

  /** Answers the entry. */
  private record Answer(HttpServerExchange exchange, String identifier, CallTracing.CallSpan span)
      implements LocalCall.Listener {

    @Override
    public void loadReported(LoadReport load) {
      if (!exchange.isResponseStarted()) {
        MeshResponses.addLoadHeader(exchange, load);
      }
    }

    @Override
    public void refused(RefusalReason reason) {
      span.end(AttemptOutcome.NOT_RUN);
      MeshResponses.sendToDaemon(exchange, identifier, AttemptOutcome.NOT_RUN, reason.toString());
    }

    @Override
    public boolean isDeliverable(int status) {
      return true;
    }

    @Override
    public void beforeDelivery(HttpServerExchange delivered, LoadReport load) {
      delivered.getResponseHeaders().put(CallHeaders.REQUEST_IDENTIFIER, identifier);
      delivered.getResponseHeaders().put(CallHeaders.OUTCOME, AttemptOutcome.ANSWERED.toString());
      MeshResponses.addLoadHeader(delivered, load);
    }

    @Override
    public void ended(AttemptResult end) {
      span.end(end.outcome());
      if (end.delivered()) {
        return;
      }
      if (exchange.isResponseStarted()) {
        IoUtils.safeClose(exchange.getConnection());
        return;
      }
      String reason =
          end.fault() == AttemptResult.Fault.REFUSED_BY_UPSTREAM
              ? RefusalReason.REFUSED_BY_UPSTREAM.toString()
              : end.fault().name();
      MeshResponses.sendToDaemon(exchange, identifier, end.outcome(), reason);
    }
  }
}
