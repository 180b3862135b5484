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
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Organisation;
import org.xnio.IoUtils;

/** Handles calls that other daemons forward, and submits them for admission. */
public final class AdmissionHandler implements HttpHandler {
  /** Upper bound on the remaining time that another daemon may state. */
  private static final Duration MAXIMUM_DEADLINE = Duration.ofMinutes(5);

  private final MeshState state;
  private final AdmissionService admission;
  private final CallSigner signer;
  private final CallTracing tracing;
  private final ReadDelays readDelays;
  private final InstantSource clock;
  private final int replayableBodyBytes;

  // -- construction

  /**
   * Creates a handler.
   *
   * @param replayableBodyBytes size in bytes up to which a request body is buffered in memory
   */
  public AdmissionHandler(
      MeshState state,
      AdmissionService admission,
      CallSigner signer,
      CallTracing tracing,
      ReadDelays readDelays,
      InstantSource clock,
      int replayableBodyBytes) {
    this.replayableBodyBytes = replayableBodyBytes;
    this.state = requireNonNull(state, "state is null");
    this.admission = requireNonNull(admission, "admission is null");
    this.signer = requireNonNull(signer, "signer is null");
    this.tracing = requireNonNull(tracing, "tracing is null");
    this.readDelays = requireNonNull(readDelays, "readDelays is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- HttpHandler

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    CallDispatch.run(exchange, () -> handle(exchange));
  }

  private void handle(HttpServerExchange exchange) {
    Instant now = clock.instant();
    Instant arrivedAt = now.minus(readDelays.recordRequest(exchange).waitingTime(now));
    String identifier = header(exchange, CallHeaders.REQUEST_IDENTIFIER);
    String upstream = header(exchange, CallHeaders.UPSTREAM);
    String routeName = header(exchange, CallHeaders.ROUTE);
    String signature = header(exchange, CallHeaders.SIGNATURE);
    Optional<String> organisation =
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(CallHeaders.ORGANISATION));
    boolean hasValidSignature =
        signer.isValid(identifier, upstream, routeName, organisation, signature);
    Configuration configuration = state.configuration();
    Optional<Contract> contract = configuration.contractOfRoute(routeName);
    if (!hasValidSignature || contract.isEmpty()) {
      RefusalReason reason =
          hasValidSignature ? RefusalReason.OUTDATED_CONFIGURATION : RefusalReason.BAD_REQUEST;
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
                    Organisation.queueRank(
                        organisation.flatMap(configuration::organisation), contract.get()),
                    organisation,
                    arrivedAt,
                    Boolean.parseBoolean(header(exchange, CallHeaders.NESTED)),
                    deadline(exchange, arrivedAt),
                    span.traceParent(),
                    Optional.empty(),
                    new Cancellation(),
                    new PeerResponder(exchange, identifier, span)),
                span),
        cause -> closeConnection(exchange, span));
  }

  /** Refuses a call that has not run, because clients hold too much memory already. */
  public static void refuseForMemory(HttpServerExchange exchange) {
    MeshResponses.sendToDaemon(
        exchange,
        header(exchange, CallHeaders.REQUEST_IDENTIFIER),
        AttemptOutcome.NOT_RUN,
        RefusalReason.MEMORY_FULL.toString());
  }

  private void submit(LocalCall call, CallTracing.CallSpan span) {
    Cancellation cancellation = call.cancellation();
    if (call.body().isReplayable()) {
      DisconnectDetectingConduit.watch(call.exchange(), cancellation::cancel);
    }
    if (cancellation.isCancelled()) {
      closeConnection(call.exchange(), span);
    } else {
      admission.submit(call);
    }
  }

  private static void closeConnection(HttpServerExchange exchange, CallTracing.CallSpan span) {
    IoUtils.safeClose(exchange.getConnection());
    span.end(AttemptOutcome.NOT_RUN);
  }

  private static Instant deadline(HttpServerExchange exchange, Instant arrivedAt) {
    Duration statedDeadline =
        CallHeaders.milliseconds(exchange.getRequestHeaders(), CallHeaders.DEADLINE)
            .orElse(Duration.ZERO);
    return arrivedAt.plusMillis(Math.min(statedDeadline.toMillis(), MAXIMUM_DEADLINE.toMillis()));
  }

  private static String header(HttpServerExchange exchange, HttpString name) {
    HeaderMap headers = exchange.getRequestHeaders();
    String value = headers.getFirst(name);
    return value == null ? "" : value;
  }

  /** Sends the result of a call to the daemon that forwarded it. */
  private record PeerResponder(
      HttpServerExchange exchange, String identifier, CallTracing.CallSpan span)
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
    public void beforeDelivery(HttpServerExchange deliveredExchange, LoadReport load) {
      deliveredExchange.getResponseHeaders().put(CallHeaders.REQUEST_IDENTIFIER, identifier);
      deliveredExchange
          .getResponseHeaders()
          .put(CallHeaders.OUTCOME, AttemptOutcome.ANSWERED.toString());
      MeshResponses.addLoadHeader(deliveredExchange, load);
    }

    @Override
    public void ended(AttemptResult result) {
      span.end(result.outcome());
      if (result.fault() == AttemptResult.Fault.CALLER_GONE) {
        // Nothing reads from the connection of a call that waited, so its end would go unnoticed.
        ResponseFraming.abort(exchange);
        return;
      }
      if (result.isDelivered()) {
        return;
      }
      if (exchange.isResponseStarted()) {
        ResponseFraming.abort(exchange);
        return;
      }
      String reason =
          result.fault() == AttemptResult.Fault.REFUSED_BY_UPSTREAM
              ? RefusalReason.REFUSED_BY_UPSTREAM.toString()
              : result.fault().name();
      MeshResponses.sendToDaemon(exchange, identifier, result.outcome(), reason);
    }
  }
}
