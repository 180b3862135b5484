package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.parsleycart.daemon.call.AttemptResult.Fault;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.RetryAfterDelay;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.UpstreamLoad;
import org.parsleycart.model.document.Document;
import org.xnio.IoUtils;

/**
 * A call at its entry, the daemon that received it from the caller. Makes attempts until one is
 * answered, the contract forbids another one, or the deadline passes. Confined to the input/output
 * thread of the exchange.
 */
final class EntryCall {
  private static final int FIRST_SERVER_ERROR = 500;

  private final EntryDependencies dependencies;
  private final HttpServerExchange exchange;
  private final RoutedRequest request;
  private final CallTracing.CallSpan span;
  private final Cancellation cancellation = new Cancellation();
  private final UpstreamChoice upstreams;
  private int arrivals; // attempts that reached an upstream
  private int refusals; // attempts that were refused or failed before they reached one
  private boolean mayHaveRun;
  private boolean hasDeadlinePassed;
  private boolean isFinished;
  private RefusalReason lastRefusal = RefusalReason.NO_UPSTREAM;

  // -- construction

  EntryCall(
      EntryDependencies dependencies,
      HttpServerExchange exchange,
      RoutedRequest request,
      CallTracing.CallSpan span) {
    this.dependencies = requireNonNull(dependencies, "dependencies is null");
    this.exchange = requireNonNull(exchange, "exchange is null");
    this.request = requireNonNull(request, "request is null");
    this.span = requireNonNull(span, "span is null");
    this.upstreams = new UpstreamChoice(dependencies, request, keyOf(exchange, request));
  }

  // -- progress

  void start() {
    dependencies.retries().recordCall(request.service().name());
    RequestBody.bufferOrStream(
        exchange,
        dependencies.limits().replayableBodyBytes(),
        this::bodyReceived,
        this::bodyFailed);
  }

  private void bodyReceived(RequestBody body) {
    if (body.isReplayable()) {
      DisconnectDetectingConduit.watch(exchange, this::callerDisconnected);
    }
    if (isFinished) {
      return;
    }
    attempt(body);
  }

  private void bodyFailed(IOException cause) {
    span.with("parsleycart.fault", String.valueOf(cause.getMessage()));
    IoUtils.safeClose(exchange.getConnection());
    finish(AttemptOutcome.NOT_RUN);
  }

  private void callerDisconnected() {
    dependencies.metrics().recordCallerDisconnect();
    cancellation.cancel();
    IoUtils.safeClose(exchange.getConnection());
    finish(arrivals > 0 ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
  }

  private void attempt(RequestBody body) {
    if (isFinished) {
      return;
    }
    Optional<Candidate> candidate = upstreams.next();
    if (candidate.isEmpty()) {
      endWithoutResponse();
      return;
    }
    UpstreamLoad load = dependencies.loads().of(candidate.get());
    load.recordStart();
    if (candidate.get().daemonIdentifier().equals(dependencies.daemonIdentifier())) {
      dependencies.metrics().recordLocalAttempt();
      admitLocally(body, candidate.get(), load);
    } else {
      sendToDaemon(body, candidate.get(), load);
    }
  }

  private static Optional<String> keyOf(HttpServerExchange exchange, RoutedRequest request) {
    return request.contract().requestKind().isIdempotent()
        ? Optional.empty()
        : Optional.ofNullable(exchange.getRequestHeaders().getFirst(CallHeaders.IDEMPOTENCY_KEY));
  }

  private void admitLocally(RequestBody body, Candidate candidate, UpstreamLoad load) {
    dependencies
        .admission()
        .submit(
            new LocalCall(
                exchange,
                body,
                request.identifier(),
                candidate.identifier(),
                request.route().name(),
                request.contract(),
                request.deadline(),
                span.traceParent(),
                dependencies.state().callerService(),
                cancellation,
                new LocalAttemptListener(body, load, candidate.zone())));
  }

  private void sendToDaemon(RequestBody body, Candidate candidate, UpstreamLoad load) {
    String routeName = request.route().name();
    Map<HttpString, String> headers = new LinkedHashMap<>();
    headers.put(CallHeaders.UPSTREAM, candidate.identifier());
    headers.put(CallHeaders.ROUTE, routeName);
    CallHeaders.putTraceParent(headers, span.traceParent());
    headers.put(
        CallHeaders.SIGNATURE,
        dependencies.signer().sign(request.identifier(), candidate.identifier(), routeName));
    headers.put(CallHeaders.DEADLINE, Long.toString(Math.max(0, remaining().toMillis())));
    dependencies
        .state()
        .callerService()
        .ifPresent(
            service -> headers.put(dependencies.dialect().headers().callerService(), service));
    cancellation.onCancel(
        dependencies
            .forwarder()
            .forward(
                new Attempt(
                    exchange,
                    body,
                    candidate.callAddress(),
                    request.identifier(),
                    dependencies.daemonHop(),
                    headers,
                    request.deadline(),
                    new RemoteAttemptListener(body, load, candidate.zone()))));
  }

  // -- endings

  private void attemptEnded(RequestBody body, AttemptResult result) {
    if (isFinished) {
      return;
    }
    if (result.isDelivered()) {
      finish(result.outcome());
      return;
    }
    boolean isRefusedBeforeArrival =
        result.outcome() == AttemptOutcome.NOT_RUN && result.fault() == Fault.NONE;
    boolean hasArrived = !isRefusedBeforeArrival && result.fault() != Fault.UNREACHABLE;
    arrivals += hasArrived ? 1 : 0;
    refusals += hasArrived ? 0 : 1;
    mayHaveRun |= result.outcome() == AttemptOutcome.UNKNOWN;
    hasDeadlinePassed |= result.fault() == Fault.LATE;
    boolean isBodyAvailable = body.isReplayable() || result.fault() == Fault.UNREACHABLE;
    if (isBodyAvailable && mayRetry(result, hasArrived)) {
      dependencies.metrics().recordRetry();
      attempt(body);
    } else {
      endWithoutResponse();
    }
  }

  private boolean mayRetry(AttemptResult result, boolean hasArrived) {
    String service = request.service().name();
    return hasArrived
        ? dependencies
            .retries()
            .acquireRetry(service, request.contract(), arrivals, result.outcome(), remaining())
        : dependencies.retries().acquireRedirect(service, refusals, lastRefusal, remaining());
  }

  private Duration remaining() {
    return Duration.between(dependencies.clock().instant(), request.deadline());
  }

  private void endWithoutResponse() {
    if (exchange.isResponseStarted()) {
      IoUtils.safeClose(exchange.getConnection());
    } else if (mayHaveRun) {
      dependencies.responses().sendUnknown(exchange, request.identifier(), hasDeadlinePassed);
    } else {
      dependencies.metrics().recordRefusal(lastRefusal);
      Duration retryAfter = RetryAfterDelay.of(remaining(), dependencies.random().get());
      dependencies.responses().sendNotRun(exchange, request.identifier(), lastRefusal, retryAfter);
    }
    finish(mayHaveRun ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
  }

  private void finish(AttemptOutcome outcome) {
    if (isFinished) {
      return;
    }
    isFinished = true;
    Duration duration = Duration.between(request.arrivedAt(), dependencies.clock().instant());
    dependencies.metrics().recordCall(outcome, duration);
    log(outcome, duration);
    span.with("parsleycart.attempts", Integer.toString(upstreams.tried().size())).end(outcome);
  }

  private void log(AttemptOutcome outcome, Duration duration) {
    boolean isAnswered = outcome == AttemptOutcome.ANSWERED;
    boolean isSlow = duration.compareTo(request.contract().latencyObjective()) > 0;
    boolean isServerError = exchange.getStatusCode() >= FIRST_SERVER_ERROR;
    if (isAnswered && !isSlow && !isServerError && !dependencies.log().isSuccessSampled()) {
      return;
    }
    Document.MappingBuilder fields =
        request
            .toLogFields(duration)
            .with("outcome", outcome.toString())
            .with("status", exchange.getStatusCode())
            .with("upstreams", String.join(",", upstreams.tried()))
            .with("arrivals", arrivals + (isAnswered ? 1 : 0))
            .with("refusals", refusals);
    if (!isAnswered) {
      fields.with("reason", reasonForNoResponse());
      fields.with("callerLeft", cancellation.isCancelled());
    }
    dependencies.log().write("call-ended", request.identifier(), fields);
  }

  /** Returns why the caller got no response: the deadline, an incomplete response or a refusal. */
  private String reasonForNoResponse() {
    if (hasDeadlinePassed) {
      return "deadline";
    }
    return mayHaveRun ? "no-whole-answer" : lastRefusal.toString();
  }

  private void recordResult(UpstreamLoad load, AttemptResult result) {
    load.recordEnd();
    if (result.isDelivered() && result.status().isPresent()) {
      boolean isServerError = result.status().getAsInt() >= FIRST_SERVER_ERROR;
      load.recordAnswer(isServerError, dependencies.clock().instant());
    }
    if (result.outcome() == AttemptOutcome.NOT_RUN && result.fault() == Fault.NONE) {
      load.recordRefusal(lastRefusal, dependencies.clock().instant());
    }
    recordFault(load, result.fault());
  }

  private void recordFault(UpstreamLoad load, Fault fault) {
    switch (fault) {
      case UNREACHABLE, BROKEN, LATE, UNUSABLE ->
          load.recordFailure(dependencies.clock().instant());
      case REFUSED_BY_UPSTREAM, FAILED_ANSWER ->
          load.recordAnswer(true, dependencies.clock().instant());
      case NONE, CALLER_GONE, REPEATED -> {}
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
  }

  /** Returns whether a server error of the upstream is withheld and the call retried. */
  private boolean isRetriedInstead(RequestBody body, int status) {
    return status >= FIRST_SERVER_ERROR
        && request.contract().requestKind().isIdempotent()
        && dependencies.dialect().isRequestIdentifiedByCaller()
        && body.isReplayable()
        && dependencies
            .retries()
            .mayRetryFailedAnswer(
                request.service().name(), request.contract(), arrivals + 1, remaining());
  }

  // -- progress of attempts

  /** Receives the events of an attempt at an upstream beside this daemon. */
  private final class LocalAttemptListener implements LocalCall.Listener {
    private final RequestBody body;
    private final UpstreamLoad load;
    private final String zone;

    private LocalAttemptListener(RequestBody body, UpstreamLoad load, String zone) {
      this.body = body;
      this.load = load;
      this.zone = zone;
    }

    @Override
    public void loadReported(LoadReport report) {
      load.recordReport(report);
    }

    @Override
    public void refused(RefusalReason reason) {
      lastRefusal = reason;
      AttemptResult result = AttemptResult.undelivered(AttemptOutcome.NOT_RUN, Fault.NONE);
      recordResult(load, result);
      attemptEnded(body, result);
    }

    @Override
    public boolean isDeliverable(int status) {
      return !isRetriedInstead(body, status);
    }

    @Override
    public void beforeDelivery(HttpServerExchange deliveredExchange, LoadReport report) {
      load.recordReport(report);
      dependencies.responses().addAnsweredHeaders(deliveredExchange, request.identifier(), zone);
    }

    @Override
    public void ended(AttemptResult result) {
      recordResult(load, result);
      lastRefusal = RefusalReason.UNREACHABLE;
      attemptEnded(body, result);
    }
  }

  /** Receives the events of an attempt through the daemon beside an upstream. */
  private final class RemoteAttemptListener implements Attempt.Listener {
    private final RequestBody body;
    private final UpstreamLoad load;
    private final String zone;

    private RemoteAttemptListener(RequestBody body, UpstreamLoad load, String zone) {
      this.body = body;
      this.load = load;
      this.zone = zone;
    }

    @Override
    public Optional<AttemptResult> intercept(ClientResponse response) {
      String report = response.getResponseHeaders().getFirst(CallHeaders.LOAD);
      Optional.ofNullable(report).flatMap(LoadReport::parse).ifPresent(load::recordReport);
      AttemptOutcome outcome =
          Optional.ofNullable(response.getResponseHeaders().getFirst(CallHeaders.OUTCOME))
              .flatMap(AttemptOutcome::ofLabel)
              .orElse(AttemptOutcome.UNKNOWN);
      OptionalInt status = OptionalInt.of(response.getResponseCode());
      if (outcome == AttemptOutcome.ANSWERED) {
        return isRetriedInstead(body, response.getResponseCode())
            ? Optional.of(
                new AttemptResult(AttemptOutcome.UNKNOWN, false, Fault.FAILED_ANSWER, status))
            : Optional.empty();
      }
      String reason = response.getResponseHeaders().getFirst(CallHeaders.REASON);
      lastRefusal = RefusalReason.ofLabel(reason).orElse(RefusalReason.UNREACHABLE);
      return Optional.of(new AttemptResult(outcome, false, faultOf(outcome, reason), status));
    }

    /** Returns the fault, {@code NONE} if the call did not reach the upstream. */
    private Fault faultOf(AttemptOutcome outcome, String reason) {
      if (outcome == AttemptOutcome.UNKNOWN) {
        return Fault.LATE.name().equals(reason) ? Fault.LATE : Fault.BROKEN;
      }
      return lastRefusal == RefusalReason.REFUSED_BY_UPSTREAM
          ? Fault.REFUSED_BY_UPSTREAM
          : Fault.NONE;
    }

    @Override
    public void beforeDelivery(HttpServerExchange deliveredExchange) {
      dependencies.responses().addAnsweredHeaders(deliveredExchange, request.identifier(), zone);
    }

    @Override
    public void ended(AttemptResult result) {
      recordResult(load, result);
      if (result.fault() == Fault.UNREACHABLE) {
        lastRefusal = RefusalReason.UNREACHABLE;
      }
      attemptEnded(body, result);
    }
  }
}
