package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.parsleycart.daemon.call.AttemptResult.Fault;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.RetryAfterDelay;
import org.parsleycart.decision.admission.UpstreamNotice;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.UpstreamLoad;
import org.xnio.IoUtils;

/**
 * A call at its entry, the daemon that received it from the caller. Makes attempts until one is
 * answered, the contract forbids another one, or the deadline passes. Confined to the input/output
 * thread of the exchange.
 */
final class EntryCall {
  private final EntryDependencies dependencies;
  private final HttpServerExchange exchange;
  private final RoutedRequest request;
  private final CallTracing.CallSpan span;
  private final Cancellation cancellation = new Cancellation();
  private final UpstreamChoice upstreams;
  private final AttemptHistory attempts = new AttemptHistory();
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
    this.upstreams = UpstreamChoice.of(dependencies, exchange, request);
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
    if (dependencies.state().isRefusingNewCalls()) {
      // The shutdown has reached that point while the body arrived.
      lastRefusal = RefusalReason.STOPPING;
      endWithoutResponse();
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
    ResponseFraming.abort(exchange);
    finish(mayHaveRun ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
  }

  private void attempt(RequestBody body) {
    if (isFinished) {
      return;
    }
    if (RequestFingerprint.isQuarantined(dependencies.state().quarantine(), exchange, body)) {
      lastRefusal = RefusalReason.QUARANTINED;
      endWithoutResponse();
      return;
    }
    Optional<Candidate> candidate = upstreams.next();
    if (candidate.isEmpty()) {
      endWithoutResponse();
      return;
    }
    UpstreamLoad load = dependencies.loads().of(candidate.get());
    attempts.recordStart(
        AttemptRecord.of(
            candidate.get(), load, dependencies.state().zone(), dependencies.clock().instant()));
    load.recordStart();
    dependencies.metrics().recordAttempt(dependencies.state().zone(), candidate.get().zone());
    if (candidate.get().daemonIdentifier().equals(dependencies.daemonIdentifier())) {
      dependencies.metrics().recordLocalAttempt();
      admitLocally(body, candidate.get(), load);
    } else {
      sendToDaemon(body, candidate.get(), load);
    }
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
                request.queueRank(),
                request.organisationName(),
                dependencies.clock().instant(),
                request.isNested(),
                request.deadline(),
                span.traceParent(),
                dependencies.state().callerService(),
                cancellation,
                new LocalAttemptListener(body, load, candidate.zone())));
  }

  private void sendToDaemon(RequestBody body, Candidate candidate, UpstreamLoad load) {
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
                    DaemonCallHeaders.of(
                        dependencies, request, candidate, span.traceParent(), remaining()),
                    request.deadline(),
                    new RemoteAttemptListener(body, load, candidate.zone()))));
  }

  // -- endings

  private void attemptEnded(RequestBody body, AttemptResult result) {
    if (isFinished) {
      return;
    }
    if (result.isDelivered()) {
      endDelivered(result.outcome());
      return;
    }
    boolean hasArrived = !result.isRefusedBeforeArrival() && result.fault() != Fault.UNREACHABLE;
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

  /** Ends the call after a response, whole or in part, or after the caller disconnected. */
  private void endDelivered(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.ANSWERED) {
      finish(outcome);
      return;
    }
    boolean isUncertain = outcome == AttemptOutcome.UNKNOWN;
    arrivals += isUncertain ? 1 : 0;
    mayHaveRun |= isUncertain;
    finish(mayHaveRun ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
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
      ResponseFraming.abort(exchange);
    } else if (mayHaveRun) {
      dependencies.responses().sendUnknown(exchange, request.identifier(), hasDeadlinePassed);
    } else {
      dependencies.metrics().recordRefusal(lastRefusal);
      Duration retryAfter =
          lastRefusal == RefusalReason.QUARANTINED
              ? RequestQuarantine.RETENTION
              : RetryAfterDelay.of(remaining(), dependencies.random().get());
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
    CallEnd end =
        new CallEnd(
            request,
            outcome,
            duration,
            exchange.isResponseStarted()
                ? OptionalInt.of(exchange.getStatusCode())
                : OptionalInt.empty(),
            List.copyOf(upstreams.tried()),
            arrivals,
            refusals,
            reasonForNoResponse(),
            cancellation.isCancelled());
    if (!end.isExceptional() && !dependencies.log().isSuccessSampled()) {
      return;
    }
    attempts
        .toLogFields()
        .forEach(
            attempt -> dependencies.log().write("attempt-ended", request.identifier(), attempt));
    dependencies.log().write("call-ended", request.identifier(), end.toLogFields());
  }

  /** Returns why the caller got no response: the deadline, an incomplete response or a refusal. */
  private String reasonForNoResponse() {
    if (hasDeadlinePassed) {
      return "deadline";
    }
    return mayHaveRun ? "no-whole-answer" : lastRefusal.toString();
  }

  private void recordResult(UpstreamLoad load, AttemptResult result) {
    Instant now = dependencies.clock().instant();
    attempts.recordEnd(result, lastRefusal, now);
    load.recordEnd();
    result.recordHealth(load, lastRefusal, now);
  }

  /** Returns whether a server error of the upstream is withheld and the call retried. */
  private boolean isRetriedInstead(RequestBody body, int status) {
    return AttemptResult.isServerError(status)
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
      load.recordReport(report, dependencies.clock().instant());
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
      load.recordReport(report, dependencies.clock().instant());
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
      MeshResponses.readLoad(response.getResponseHeaders())
          .ifPresent(parsed -> load.recordReport(parsed, dependencies.clock().instant()));
      dependencies
          .dialect()
          .notice(response.getResponseHeaders())
          .filter(UpstreamNotice::isLeaving)
          .forEach(leaving -> load.recordLeaving(dependencies.clock().instant()));
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

    private Fault faultOf(AttemptOutcome outcome, String reason) {
      return outcome == AttemptOutcome.UNKNOWN
          ? Fault.ofReason(reason)
          : Fault.ofRefusal(lastRefusal);
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
