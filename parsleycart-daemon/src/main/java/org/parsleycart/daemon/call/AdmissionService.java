package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
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
import org.parsleycart.decision.admission.RunningDeadlines;
import org.parsleycart.decision.admission.UpstreamNotice;
import org.parsleycart.decision.usage.UsageRecorder;
import org.parsleycart.link.dialect.CallHeaderNames;
import org.parsleycart.link.dialect.Dialect;
import org.parsleycart.model.Service;
import org.parsleycart.model.document.Document;
import org.tinylog.Logger;

/** Admits calls to the upstreams beside this daemon and forwards the admitted calls. */
public final class AdmissionService {
  private static final int MISDIRECTED_REQUEST = 421;

  private final MeshState state;
  private final LocalUpstreams upstreams;
  private final IdempotencyGuard idempotencyGuard;
  private final Forwarder forwarder;
  private final Dialect dialect;
  private final CallMetrics metrics;
  private final CallStatistics statistics;
  private final CallLog log;
  private final UsageRecorder usage;
  private final CrashDetector crashDetector;
  private final RunningDeadlines runningDeadlines = new RunningDeadlines();
  private final InstantSource clock;
  private final HopPolicy entryHop;
  private final HopPolicy relayedHop;

  // -- construction

  /**
   * Creates a service.
   *
   * @param idempotencyGuard rejects requests that repeat an idempotency key
   * @param dialect defines the header names and whether status 421 means that a call did not run
   * @param usage records the requests that upstreams begin
   * @param crashDetector records how calls at upstreams end
   */
  public AdmissionService(
      MeshState state,
      LocalUpstreams upstreams,
      IdempotencyGuard idempotencyGuard,
      Forwarder forwarder,
      Dialect dialect,
      CallMetrics metrics,
      CallStatistics statistics,
      CallLog log,
      UsageRecorder usage,
      CrashDetector crashDetector,
      InstantSource clock) {
    this.state = requireNonNull(state, "state is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.idempotencyGuard = requireNonNull(idempotencyGuard, "idempotencyGuard is null");
    this.forwarder = requireNonNull(forwarder, "forwarder is null");
    this.dialect = requireNonNull(dialect, "dialect is null");
    this.metrics = requireNonNull(metrics, "metrics is null");
    this.statistics = requireNonNull(statistics, "statistics is null");
    this.log = requireNonNull(log, "log is null");
    this.usage = requireNonNull(usage, "usage is null");
    this.crashDetector = requireNonNull(crashDetector, "crashDetector is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.entryHop = HopPolicy.fromEntryToUpstream(dialect);
    this.relayedHop = HopPolicy.fromDaemonToUpstream(dialect);
  }

  // -- queries

  /**
   * Returns whether a request that callers send to this daemon may be one that an upstream beside
   * makes while it runs a call.
   *
   * @param statedDeadline when the request expires, as it states itself
   */
  boolean mayBeNested(Instant statedDeadline) {
    return runningDeadlines.mayServe(statedDeadline);
  }

  // -- operations

  /**
   * Submits a call for admission. Its listener receives either a refusal or the result of the call,
   * possibly before this method returns.
   */
  void submit(LocalCall call) {
    requireNonNull(call, "call is null");
    if (call.organisation().isPresent() || state.configuration().hasOrganisations()) {
      // An entry of an earlier version or configuration may have forwarded them.
      CallerCredentials.remove(call.exchange().getRequestHeaders(), dialect.headers());
    }
    Optional<LocalUpstream> upstream = upstreams.find(call.upstream());
    Optional<RefusalReason> refusal = refusal(upstream).or(() -> quarantine(call));
    if (refusal.isPresent()) {
      reportRefusal(call, upstream, refusal.get());
      call.listener().refused(refusal.get());
      return;
    }
    idempotencyGuard.claimKey(call).ifPresent(claimedCall -> offer(upstream.get(), claimedCall));
  }

  private void offer(LocalUpstream upstream, LocalCall call) {
    AdmissionRequest<LocalCall> request =
        new AdmissionRequest<>(
            call,
            call.queueRank(),
            call.route(),
            call.softDeadline(state.configuration()),
            call.deadline(),
            call.organisation());
    // The first heartbeat may precede the configuration that limits the calls of a cold upstream.
    upstream.admission().setColdCallsPerSecond(coldCallsPerSecond(upstream));
    call.cancellation().onCancel(() -> cancelWaiting(upstream, call));
    applyDecision(upstream, upstream.admission().offer(request));
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

  private Optional<RefusalReason> quarantine(LocalCall call) {
    return RequestFingerprint.isQuarantined(state.quarantine(), call.exchange(), call.body())
        ? Optional.of(RefusalReason.QUARANTINED)
        : Optional.empty();
  }

  private void applyDecision(LocalUpstream upstream, AdmissionDecision<LocalCall> decision) {
    decision
        .refusals()
        .forEach(
            refused ->
                reportRefusal(refused.request().call(), Optional.of(upstream), refused.reason()));
    LocalUpstreams.notifyRefusals(upstream, decision);
    decision
        .admitted()
        .forEach(
            request -> request.call().runOnExchangeThread(() -> start(upstream, request.call())));
  }

  private void reportRefusal(
      LocalCall call, Optional<LocalUpstream> upstream, RefusalReason reason) {
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
    upstream.ifPresent(local -> fields.with("load", local.admission().load().toString()));
    log.write("admission-refused", call.requestIdentifier(), fields);
    upstream.ifPresent(
        local ->
            local
                .slots()
                .recordRefusal(call.route(), clock.instant())
                .ifPresent(window -> SlotUsageLog.write(log, local, window)));
  }

  private void start(LocalUpstream upstream, LocalCall call) {
    // An upstream may have ended under the same request while this one waited.
    Optional<RefusalReason> refusal = quarantine(call);
    if (refusal.isPresent()) {
      reportRefusal(call, Optional.of(upstream), refusal.get());
      applyDecision(upstream, upstream.admission().releaseSlot());
      call.listener().refused(refusal.get());
      return;
    }
    AdmittedCallListener listener = new AdmittedCallListener(upstream, call, clock.instant());
    if (call.cancellation().isCancelled()) {
      listener.ended(
          new AttemptResult(AttemptOutcome.NOT_RUN, true, Fault.CALLER_GONE, OptionalInt.empty()));
      return;
    }
    CallHeaderNames names = dialect.headers();
    Map<HttpString, String> headers = new LinkedHashMap<>();
    CallHeaders.putTraceParent(headers, call.traceParent());
    headers.put(names.expectedInstance(), call.upstream());
    call.callerService().ifPresent(service -> headers.put(names.callerService(), service));
    call.organisation().ifPresent(name -> headers.put(names.organisation(), name));
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
                    listener)));
  }

  /** Receives the events of an admitted call and releases its slot when it ends. */
  private final class AdmittedCallListener implements Attempt.Listener {
    private final LocalUpstream upstream;
    private final LocalCall call;
    private final Instant startedAt;
    private final long usageWindow;

    private AdmittedCallListener(LocalUpstream upstream, LocalCall call, Instant startedAt) {
      this.upstream = upstream;
      this.call = call;
      this.startedAt = startedAt;
      this.usageWindow = usage.recordBegun(call.organisation());
      runningDeadlines.add(call.deadline());
    }

    @Override
    public Optional<AttemptResult> intercept(ClientResponse response) {
      int status = response.getResponseCode();
      if (isMisdirected(response)) {
        return Optional.of(refusedByUpstream(status));
      }
      boolean hasRun = !response.getResponseHeaders().contains(dialect.headers().notRun());
      readNotice(response, hasRun);
      if (!hasRun) {
        return Optional.of(refusedByUpstream(status));
      }
      if (status < StatusCodes.BAD_REQUEST) {
        ResponseFraming.contentLength(response)
            .ifPresent(bytes -> upstream.admission().recordResponseSize(call.route(), bytes));
      }
      return call.listener().isDeliverable(status)
          ? Optional.empty()
          : Optional.of(
              new AttemptResult(
                  AttemptOutcome.UNKNOWN, false, Fault.FAILED_ANSWER, OptionalInt.of(status)));
    }

    private AttemptResult refusedByUpstream(int status) {
      return new AttemptResult(
          AttemptOutcome.NOT_RUN, false, Fault.REFUSED_BY_UPSTREAM, OptionalInt.of(status));
    }

    /** Returns whether another process answered, which has the address of the upstream now. */
    private boolean isMisdirected(ClientResponse response) {
      return dialect.isRequestIdentifiedByCaller()
          && response.getResponseCode() == MISDIRECTED_REQUEST;
    }

    private void readNotice(ClientResponse response, boolean hasRun) {
      dialect
          .notice(response.getResponseHeaders())
          .peek(notice -> recordNotice(notice, hasRun))
          .peekLeft(this::warn);
    }

    private void warn(String problem) {
      Logger.warn(
          "answer of upstream {}: {}, the statement before it holds",
          upstream.announced().identifier(),
          problem);
    }

    /** Records a notice; only the answer to a call that ran ends a stated rate by omitting it. */
    private void recordNotice(UpstreamNotice notice, boolean hasRun) {
      boolean statesRate = hasRun || notice.callsPerSecond().isPresent();
      if (statesRate && upstream.admission().recordStatedRate(notice.callsPerSecond())) {
        Logger.info(
            "upstream {} takes {} calls per second",
            upstream.announced().identifier(),
            notice.callsPerSecond().isPresent()
                ? notice.callsPerSecond().getAsDouble()
                : "any number of");
      }
      notice.load().ifPresent(load -> upstream.pace().recordStatement(load.pace()));
      notice.loadProblem().ifPresent(this::warn);
      if (notice.isLeaving()) {
        upstreams.recordLeaving(upstream.announced().identifier());
      }
    }

    @Override
    public void beforeDelivery(HttpServerExchange exchange) {
      call.listener().beforeDelivery(exchange, upstream.load());
    }

    @Override
    public void ended(AttemptResult result) {
      if (result.outcome() == AttemptOutcome.NOT_RUN) {
        usage.recordNotRun(call.organisation(), usageWindow);
      }
      runningDeadlines.remove(call.deadline());
      Duration latency = Duration.between(startedAt, clock.instant());
      long coldReturnsBefore = upstream.admission().returnsToCold();
      AdmissionDecision<LocalCall> decision = release(result, latency);
      if (upstream.admission().returnsToCold() > coldReturnsBefore) {
        metrics.recordColdReturn();
      }
      recordStatistics(result, latency);
      recordSlotUsage(latency);
      recordEnd(result);
      applyDecision(upstream, decision);
      call.listener().loadReported(upstream.load());
      call.listener().ended(result);
    }

    private void recordSlotUsage(Duration latency) {
      Duration waited = Duration.between(call.submittedAt(), startedAt);
      metrics.recordAdmissionWait(waited);
      upstream
          .slots()
          .recordEnd(call.route(), waited, latency, clock.instant())
          .ifPresent(window -> SlotUsageLog.write(log, upstream, window));
    }

    private void recordEnd(AttemptResult result) {
      if (result.fault() == Fault.BROKEN) {
        crashDetector.recordBrokenCall(upstream, call);
      } else if (result.fault() == Fault.UNREACHABLE) {
        crashDetector.recordUnreachable(upstream, call);
      } else if (result.fault() == Fault.NONE || result.fault() == Fault.FAILED_ANSWER) {
        crashDetector.recordAnswer(upstream, call);
      }
    }

    private AdmissionDecision<LocalCall> release(AttemptResult result, Duration latency) {
      int status = result.status().orElse(0);
      boolean isShedByUpstream =
          status == StatusCodes.SERVICE_UNAVAILABLE || status == StatusCodes.TOO_MANY_REQUESTS;
      if (isShedByUpstream) {
        return upstream.admission().recordOverload();
      }
      return switch (result.fault()) {
        case NONE, LATE, FAILED_ANSWER -> {
          upstream.pace().recordAnswer(latency);
          yield upstream.admission().recordAnswer(call.route(), latency);
        }
        case UNREACHABLE -> upstream.admission().recordConnectionFailure();
        case BROKEN -> upstream.admission().recordFailure();
        case UNUSABLE, CALLER_GONE, REPEATED, REFUSED_BY_UPSTREAM ->
            upstream.admission().releaseSlot();
      };
    }

    private void recordStatistics(AttemptResult result, Duration latency) {
      if (result.fault() == Fault.CALLER_GONE || result.fault() == Fault.REFUSED_BY_UPSTREAM) {
        return;
      }
      Series series =
          new Series(upstream.announced().service(), upstream.announced().version(), call.route());
      boolean isFailed =
          result.fault() != Fault.NONE || AttemptResult.isServerError(result.status().orElse(0));
      if (isFailed) {
        statistics.recordFailure(series);
      } else {
        statistics.recordAnswer(series, latency, isPastColdStart());
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
