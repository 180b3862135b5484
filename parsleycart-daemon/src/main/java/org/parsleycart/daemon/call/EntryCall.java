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
 * One call at its entry: attempts until one is answered, the contract forbids another, or the
 * deadline passes. Used by the input/output thread of its exchange.
 */
final class EntryCall {
  private static final int FIRST_SERVER_ERROR = 500;

  private final EntryDependencies parts;
  private final HttpServerExchange exchange;
  private final RoutedRequest request;
  private final CallTracing.CallSpan span;
  private final Cancellation cancellation = new Cancellation();
  private final UpstreamChoice upstreams;
  private int arrivals;
  private int refusals;
  private boolean mayHaveRun;
  private boolean late;
  private boolean finished;
  private RefusalReason lastRefusal = RefusalReason.NO_UPSTREAM;

  // -- construction

  EntryCall(
      EntryDependencies parts,
      HttpServerExchange exchange,
      RoutedRequest request,
      CallTracing.CallSpan span) {
    this.parts = requireNonNull(parts, "parts is null");
    this.exchange = requireNonNull(exchange, "exchange is null");
    this.request = requireNonNull(request, "request is null");
    this.span = requireNonNull(span, "span is null");
    this.upstreams = new UpstreamChoice(parts, request, keyOf(exchange, request));
  }

  // -- progress

  void start() {
    parts.retries().recordCall(request.service().name());
    RequestBody.bufferOrStream(
        exchange, parts.limits().replayableBodyBytes(), this::bodyReady, this::callerBrokeOff);
  }

  private void bodyReady(RequestBody body) {
    if (body.isReplayable()) {
      DisconnectDetectingConduit.watch(exchange, this::callerGone);
    }
    if (finished) {
      return;
    }
    attempt(body);
  }

  private void callerBrokeOff(IOException cause) {
    span.with("parsleycart.fault", String.valueOf(cause.getMessage()));
    IoUtils.safeClose(exchange.getConnection());
    finish(AttemptOutcome.NOT_RUN);
  }

  private void callerGone() {
    parts.metrics().recordCallerDisconnect();
    cancellation.cancel();
    IoUtils.safeClose(exchange.getConnection());
    finish(arrivals > 0 ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
  }

  private void attempt(RequestBody body) {
    if (finished) {
      return;
    }
    Optional<Candidate> candidate = upstreams.next();
    if (candidate.isEmpty()) {
      giveUp();
      return;
    }
    UpstreamLoad load = parts.loads().of(candidate.get());
    load.recordStart();
    if (candidate.get().daemonIdentifier().equals(parts.daemonIdentifier())) {
      parts.metrics().recordLocalAttempt();
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
    parts
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
                parts.state().callerService(),
                cancellation,
                new LocalProgress(body, load, candidate.zone())));
  }

  private void sendToDaemon(RequestBody body, Candidate candidate, UpstreamLoad load) {
    String routeName = request.route().name();
    Map<HttpString, String> headers = new LinkedHashMap<>();
    headers.put(CallHeaders.UPSTREAM, candidate.identifier());
    headers.put(CallHeaders.ROUTE, routeName);
    CallHeaders.putTraceParent(headers, span.traceParent());
    headers.put(
        CallHeaders.SIGNATURE,
        parts.signer().sign(request.identifier(), candidate.identifier(), routeName));
    headers.put(CallHeaders.DEADLINE, Long.toString(Math.max(0, remaining().toMillis())));
    parts
        .state()
        .callerService()
        .ifPresent(service -> headers.put(parts.dialect().headers().callerService(), service));
    cancellation.onCancel(
        parts
            .forwarder()
            .forward(
                new Attempt(
                    exchange,
                    body,
                    candidate.callAddress(),
                    request.identifier(),
                    parts.daemonHop(),
                    headers,
                    request.deadline(),
                    new RemoteProgress(body, load, candidate.zone()))));
  }

  // -- endings

  private void attemptEnded(RequestBody body, AttemptResult end) {
    if (finished) {
      return;
    }
    if (end.delivered()) {
      finish(end.outcome());
      return;
    }
    boolean refusedBeforeArrival =
        end.outcome() == AttemptOutcome.NOT_RUN && end.fault() == Fault.NONE;
    boolean arrived = !refusedBeforeArrival && end.fault() != Fault.UNREACHABLE;
    arrivals += arrived ? 1 : 0;
    refusals += arrived ? 0 : 1;
    mayHaveRun |= end.outcome() == AttemptOutcome.UNKNOWN;
    late |= end.fault() == Fault.LATE;
    boolean bodyUntouched = body.isReplayable() || end.fault() == Fault.UNREACHABLE;
    if (bodyUntouched && tryAgain(end, arrived)) {
      parts.metrics().recordRetry();
      attempt(body);
    } else {
      giveUp();
    }
  }

  private boolean tryAgain(AttemptResult end, boolean arrived) {
    String service = request.service().name();
    return arrived
        ? parts
            .retries()
            .acquireRetry(service, request.contract(), arrivals, end.outcome(), remaining())
        : parts.retries().acquireRedirect(service, refusals, lastRefusal, remaining());
  }

  private Duration remaining() {
    return Duration.between(parts.clock().instant(), request.deadline());
  }

  private void giveUp() {
    if (exchange.isResponseStarted()) {
      IoUtils.safeClose(exchange.getConnection());
    } else if (mayHaveRun) {
      parts.responses().sendUnknown(exchange, request.identifier(), late);
    } else {
      parts.metrics().recordRefusal(lastRefusal);
      Duration retryAfter = RetryAfterDelay.of(remaining(), parts.random().get());
      parts.responses().sendNotRun(exchange, request.identifier(), lastRefusal, retryAfter);
    }
    finish(mayHaveRun ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
  }

  private void finish(AttemptOutcome outcome) {
    if (finished) {
      return;
    }
    finished = true;
    Duration duration = Duration.between(request.arrivedAt(), parts.clock().instant());
    parts.metrics().recordCall(outcome, duration);
    log(outcome, duration);
    span.with("parsleycart.attempts", Integer.toString(upstreams.tried().size())).end(outcome);
  }

  private void log(AttemptOutcome outcome, Duration duration) {
    boolean answered = outcome == AttemptOutcome.ANSWERED;
    boolean slow = duration.compareTo(request.contract().latencyObjective()) > 0;
    boolean failed = exchange.getStatusCode() >= FIRST_SERVER_ERROR;
    if (answered && !slow && !failed && !parts.log().isSuccessSampled()) {
      return;
    }
    Document.MappingBuilder fields =
        request
            .toLogFields(duration)
            .with("outcome", outcome.toString())
            .with("status", exchange.getStatusCode())
            .with("upstreams", String.join(",", upstreams.tried()))
            .with("arrivals", arrivals + (answered ? 1 : 0))
            .with("refusals", refusals);
    if (!answered) {
      fields.with("reason", reasonOfEnd());
      fields.with("callerLeft", cancellation.isCancelled());
    }
    parts.log().write("call-ended", request.identifier(), fields);
  }

  /** Returns why there is no answer: the deadline, what became of the last attempt, a refusal. */
  private String reasonOfEnd() {
    if (late) {
      return "deadline";
    }
    return mayHaveRun ? "no-whole-answer" : lastRefusal.toString();
  }

  private void noteEnd(UpstreamLoad load, AttemptResult end) {
    load.recordEnd();
    if (end.delivered() && end.status().isPresent()) {
      boolean failed = end.status().getAsInt() >= FIRST_SERVER_ERROR;
      load.recordAnswer(failed, parts.clock().instant());
    }
    if (end.outcome() == AttemptOutcome.NOT_RUN && end.fault() == Fault.NONE) {
      load.recordRefusal(lastRefusal, parts.clock().instant());
    }
    noteFailure(load, end.fault());
  }

  private void noteFailure(UpstreamLoad load, Fault fault) {
    switch (fault) {
      case UNREACHABLE, BROKEN, LATE, UNUSABLE -> load.recordFailure(parts.clock().instant());
      case REFUSED_BY_UPSTREAM, FAILED_ANSWER -> load.recordAnswer(true, parts.clock().instant());
      case NONE, CALLER_GONE, REPEATED -> {}
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
  }

  /**
   * Returns whether an answer that says that the upstream failed is dropped for another attempt.
   */
  private boolean isRetriedInstead(RequestBody body, int status) {
    return status >= FIRST_SERVER_ERROR
        && request.contract().requestKind().isIdempotent()
        && parts.dialect().isRequestIdentifiedByCaller()
        && body.isReplayable()
        && parts
            .retries()
            .mayRetryFailedAnswer(
                request.service().name(), request.contract(), arrivals + 1, remaining());
  }

  // -- progress of attempts

  /** Follows an attempt at an upstream beside this daemon. */
  private final class LocalProgress implements LocalCall.Listener {
    private final RequestBody body;
    private final UpstreamLoad load;
    private final String zone;

    private LocalProgress(RequestBody body, UpstreamLoad load, String zone) {
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
      AttemptResult end = AttemptResult.undelivered(AttemptOutcome.NOT_RUN, Fault.NONE);
      noteEnd(load, end);
      attemptEnded(body, end);
    }

    @Override
    public boolean isDeliverable(int status) {
      return !isRetriedInstead(body, status);
    }

    @Override
    public void beforeDelivery(HttpServerExchange delivered, LoadReport report) {
      load.recordReport(report);
      parts.responses().addAnsweredHeaders(delivered, request.identifier(), zone);
    }

    @Override
    public void ended(AttemptResult end) {
      noteEnd(load, end);
      lastRefusal = RefusalReason.UNREACHABLE;
      attemptEnded(body, end);
    }
  }

  /** Follows an attempt through the daemon beside an upstream. */
  private final class RemoteProgress implements Attempt.Listener {
    private final RequestBody body;
    private final UpstreamLoad load;
    private final String zone;

    private RemoteProgress(RequestBody body, UpstreamLoad load, String zone) {
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

    /** Tells a refusal of the upstream from one of the daemon beside it, which is no arrival. */
    private Fault faultOf(AttemptOutcome outcome, String reason) {
      if (outcome == AttemptOutcome.UNKNOWN) {
        return Fault.LATE.name().equals(reason) ? Fault.LATE : Fault.BROKEN;
      }
      return lastRefusal == RefusalReason.REFUSED_BY_UPSTREAM
          ? Fault.REFUSED_BY_UPSTREAM
          : Fault.NONE;
    }

    @Override
    public void beforeDelivery(HttpServerExchange delivered) {
      parts.responses().addAnsweredHeaders(delivered, request.identifier(), zone);
    }

    @Override
    public void ended(AttemptResult end) {
      noteEnd(load, end);
      if (end.fault() == Fault.UNREACHABLE) {
        lastRefusal = RefusalReason.UNREACHABLE;
      }
      attemptEnded(body, end);
    }
  }
}
