package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.parsleycart.daemon.call.AttemptResult.Fault;
import org.parsleycart.daemon.report.CallLog;
import org.parsleycart.daemon.report.CallMetrics;
import org.parsleycart.daemon.report.CallStatistics;
import org.parsleycart.daemon.report.CallStatistics.Series;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.AdmissionDecision;
import org.parsleycart.decision.admission.AdmissionRequest;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.link.dialect.CallHeaderNames;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.model.Service;
import org.parsleycart.model.document.Document;

/** Admits calls to the upstreams beside this daemon and sends the admitted ones on. */
public final class AdmissionService {
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int MISDIRECTED_REQUEST = 421;

  private final MeshState state;
  private final LocalUpstreams upstreams;
  private final IdempotencyGuard keyedCalls;
  private final Forwarder forwarder;
  private final Dialect dialect;
  private final CallMetrics metrics;
  private final CallStatistics evidence;
  private final CallLog log;
  private final InstantSource clock;
  private final HopPolicy entryHop;
  private final HopPolicy relayedHop;

  // -- construction

  /** Creates the service. */
  public AdmissionService(
      MeshState state,
      LocalUpstreams upstreams,
      IdempotencyGuard keyedCalls,
      Forwarder forwarder,
      Dialect dialect,
      CallMetrics metrics,
      CallStatistics evidence,
      CallLog log,
      InstantSource clock) {
    this.state = requireNonNull(state, "state is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.keyedCalls = requireNonNull(keyedCalls, "keyedCalls is null");
    this.forwarder = requireNonNull(forwarder, "forwarder is null");
    this.dialect = requireNonNull(dialect, "dialect is null");
    this.metrics = requireNonNull(metrics, "metrics is null");
    this.evidence = requireNonNull(evidence, "evidence is null");
    this.log = requireNonNull(log, "log is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.entryHop = HopPolicy.fromEntryToUpstream(dialect);
    this.relayedHop = HopPolicy.fromDaemonToUpstream(dialect);
  }

  // -- operations

  /** Takes a call; its listener is told of the refusal now or the end later. */
  void submit(LocalCall call) {
    requireNonNull(call, "call is null");
    Optional<LocalUpstream> upstream = upstreams.find(call.upstream());
    Optional<RefusalReason> refusal = refusal(upstream);
    if (refusal.isPresent()) {
      noteRefusal(call, upstream, refusal.get());
      call.listener().refused(refusal.get());
      return;
    }
    keyedCalls.claimKey(call).ifPresent(guarded -> offer(upstream.get(), guarded));
  }

  private void offer(LocalUpstream upstream, LocalCall call) {
    AdmissionRequest<LocalCall> waiting =
        new AdmissionRequest<>(
            call,
            call.contract().queueRank(),
            call.route(),
            call.contract().lateAt(call.deadline()),
            call.deadline());
    // Heartbeats may come before the configuration, which tells what a cold upstream bears.
    upstream.admission().setColdCallsPerSecond(coldCallsPerSecond(upstream));
    call.cancellation().onCancel(() -> cancelWaiting(upstream, call));
    carryOut(upstream, upstream.admission().offer(waiting));
  }

  private OptionalDouble coldCallsPerSecond(LocalUpstream upstream) {
    return state
        .configuration()
        .service(upstream.announced().service())
        .map(service -> service.bounds().coldCallsPerSecond())
        .orElseGet(OptionalDouble::empty);
  }

  private void cancelWaiting(LocalUpstream upstream, LocalCall call) {
    if (upstream.admission().cancel(call)) {
      call.listener()
          .ended(
              new AttemptResult(
                  AttemptOutcome.NOT_RUN, true, Fault.CALLER_GONE, OptionalInt.empty()));
    }
  }

  private Optional<RefusalReason> refusal(Optional<LocalUpstream> upstream) {
    if (upstream.isEmpty()) {
      return Optional.of(RefusalReason.UPSTREAM_GONE);
    }
    if (upstream.get().announced().draining()) {
      return Optional.of(RefusalReason.DRAINING);
    }
    if (state.isOwnZoneWithdrawn()) {
      return Optional.of(RefusalReason.ZONE_WITHDRAWN);
    }
    return state.isIsolated() ? Optional.of(RefusalReason.ISOLATED) : Optional.empty();
  }

  private void carryOut(LocalUpstream upstream, AdmissionDecision<LocalCall> admission) {
    admission
        .refusals()
        .forEach(
            refused ->
                noteRefusal(refused.request().call(), Optional.of(upstream), refused.reason()));
    LocalUpstreams.notifyRefusals(upstream, admission);
    admission
        .admitted()
        .forEach(
            waiting -> waiting.call().runOnExchangeThread(() -> start(upstream, waiting.call())));
  }

  private void noteRefusal(LocalCall call, Optional<LocalUpstream> upstream, RefusalReason reason) {
    metrics.recordRefusal(reason);
    Document.MappingBuilder fields =
        Document.mapping()
            .with("upstream", call.upstream())
            .with("reason", reason.toString())
            .with("route", call.route())
            .with("configuration", state.configuration().version())
            .with(
                "remainingMilliseconds",
                Duration.between(clock.instant(), call.deadline()).toMillis());
    upstream.ifPresent(held -> fields.with("load", held.admission().load().toString()));
    log.write("admission-refused", call.requestIdentifier(), fields);
  }

  private void start(LocalUpstream upstream, LocalCall call) {
    Progress progress = new Progress(upstream, call, clock.instant());
    if (call.cancellation().isCancelled()) {
      progress.ended(
          new AttemptResult(AttemptOutcome.NOT_RUN, true, Fault.CALLER_GONE, OptionalInt.empty()));
      return;
    }
    CallHeaderNames names = dialect.headers();
    Map<HttpString, String> headers = new LinkedHashMap<>();
    CallHeaders.putTraceParent(headers, call.traceParent());
    headers.put(names.expectedInstance(), call.upstream());
    call.callerService().ifPresent(service -> headers.put(names.callerService(), service));
    long remaining = Duration.between(clock.instant(), call.deadline()).toMillis();
    headers.put(names.deadline(), Long.toString(Math.max(1, remaining)));
    call.cancellation()
        .onCancel(
            forwarder.forward(
                new Attempt(
                    call.exchange(),
                    call.body(),
                    upstream.address(),
                    call.requestIdentifier(),
                    call.callerService().isPresent() ? entryHop : relayedHop,
                    headers,
                    call.deadline(),
                    progress)));
  }

  /** Follows one admitted call to its end. */
  private final class Progress implements Attempt.Listener {
    private final LocalUpstream upstream;
    private final LocalCall call;
    private final Instant startedAt;

    private Progress(LocalUpstream upstream, LocalCall call, Instant startedAt) {
      this.upstream = upstream;
      this.call = call;
      this.startedAt = startedAt;
    }

    @Override
    public Optional<AttemptResult> intercept(ClientResponse response) {
      int status = response.getResponseCode();
      if (saysNotRun(response)) {
        return Optional.of(
            new AttemptResult(
                AttemptOutcome.NOT_RUN, false, Fault.REFUSED_BY_UPSTREAM, OptionalInt.of(status)));
      }
      return call.listener().isDeliverable(status)
          ? Optional.empty()
          : Optional.of(
              new AttemptResult(
                  AttemptOutcome.UNKNOWN, false, Fault.FAILED_ANSWER, OptionalInt.of(status)));
    }

    private boolean saysNotRun(ClientResponse response) {
      HeaderMap headers = response.getResponseHeaders();
      boolean misdirected =
          dialect.isRequestIdentifiedByCaller()
              && response.getResponseCode() == MISDIRECTED_REQUEST;
      return headers.contains(dialect.headers().notRun()) || misdirected;
    }

    @Override
    public void beforeDelivery(HttpServerExchange exchange) {
      call.listener().beforeDelivery(exchange, upstream.admission().load());
    }

    @Override
    public void ended(AttemptResult end) {
      Duration latency = Duration.between(startedAt, clock.instant());
      long coldBefore = upstream.admission().returnsToCold();
      AdmissionDecision<LocalCall> released = release(end, latency);
      if (upstream.admission().returnsToCold() > coldBefore) {
        metrics.recordColdReturn();
      }
      recordEvidence(end, latency);
      carryOut(upstream, released);
      call.listener().loadReported(upstream.admission().load());
      call.listener().ended(end);
    }

    private AdmissionDecision<LocalCall> release(AttemptResult end, Duration latency) {
      int status = end.status().orElse(0);
      boolean shed =
          status == StatusCodes.SERVICE_UNAVAILABLE || status == StatusCodes.TOO_MANY_REQUESTS;
      if (shed) {
        return upstream.admission().recordOverload();
      }
      return switch (end.fault()) {
        case NONE, LATE, FAILED_ANSWER -> upstream.admission().recordAnswer(call.route(), latency);
        case UNREACHABLE -> upstream.admission().recordConnectionFailure();
        case BROKEN -> upstream.admission().recordFailure();
        case UNUSABLE, CALLER_GONE, REPEATED, REFUSED_BY_UPSTREAM ->
            upstream.admission().releaseSlot();
      };
    }

    private void recordEvidence(AttemptResult end, Duration latency) {
      if (end.fault() == Fault.CALLER_GONE || end.fault() == Fault.REFUSED_BY_UPSTREAM) {
        return;
      }
      Series series =
          new Series(upstream.announced().service(), upstream.announced().version(), call.route());
      boolean failed = end.fault() != Fault.NONE || end.status().orElse(0) >= FIRST_SERVER_ERROR;
      if (failed) {
        evidence.recordFailure(series);
      } else {
        evidence.recordAnswer(series, latency, isPastColdStart());
      }
    }

    private boolean isPastColdStart() {
      Duration warmUp =
          state
              .configuration()
              .service(upstream.announced().service())
              .map(Service::warmUp)
              .orElse(Duration.ZERO);
      return startedAt.isAfter(upstream.admission().coldSince().plus(warmUp));
    }
  }
}
