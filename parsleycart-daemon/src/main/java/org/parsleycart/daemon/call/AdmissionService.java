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
import org.parsleycart.daemon.report.CallEvidence;
import org.parsleycart.daemon.report.CallEvidence.Series;
import org.parsleycart.daemon.report.CallMetrics;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.Outcome;
import org.parsleycart.decision.admission.Admission;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.admission.WaitingCall;
import org.parsleycart.model.Service;

/** Admits calls to the upstreams beside this daemon and sends the admitted ones on. */
public final class AdmissionService {
  private static final int FIRST_SERVER_ERROR = 500;

  private final MeshState state;
  private final LocalUpstreams upstreams;
  private final KeyedCalls keyedCalls;
  private final Forwarder forwarder;
  private final CallMetrics metrics;
  private final CallEvidence evidence;
  private final InstantSource clock;

  // -- construction

  /** Creates the service. */
  public AdmissionService(
      MeshState state,
      LocalUpstreams upstreams,
      KeyedCalls keyedCalls,
      Forwarder forwarder,
      CallMetrics metrics,
      CallEvidence evidence,
      InstantSource clock) {
    this.state = requireNonNull(state, "state is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.keyedCalls = requireNonNull(keyedCalls, "keyedCalls is null");
    this.forwarder = requireNonNull(forwarder, "forwarder is null");
    this.metrics = requireNonNull(metrics, "metrics is null");
    this.evidence = requireNonNull(evidence, "evidence is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- operations

  /** Takes a call; its listener is told of the refusal now or the end later. */
  void submit(LocalCall call) {
    requireNonNull(call, "call is null");
    Optional<LocalUpstream> upstream = upstreams.find(call.upstream());
    Optional<RefusalReason> refusal = refusal(upstream);
    if (refusal.isPresent()) {
      metrics.refused(refusal.get());
      call.listener().refused(refusal.get());
      return;
    }
    keyedCalls.guard(call).ifPresent(guarded -> offer(upstream.get(), guarded));
  }

  private void offer(LocalUpstream upstream, LocalCall call) {
    WaitingCall<LocalCall> waiting =
        new WaitingCall<>(call, call.contract().requestKind(), call.route(), call.deadline());
    carryOut(upstream, upstream.admission().offer(waiting));
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

  private void carryOut(LocalUpstream upstream, Admission<LocalCall> admission) {
    admission.refuse().forEach(refused -> metrics.refused(refused.reason()));
    LocalUpstreams.refuseAll(admission);
    admission
        .start()
        .forEach(waiting -> waiting.call().onOwnThread(() -> start(upstream, waiting.call())));
  }

  private void start(LocalUpstream upstream, LocalCall call) {
    Map<HttpString, String> headers = new LinkedHashMap<>();
    headers.put(CallHeaders.TRACE_PARENT, call.traceParent());
    long remaining = Duration.between(clock.instant(), call.deadline()).toMillis();
    headers.put(CallHeaders.DEADLINE, Long.toString(Math.max(1, remaining)));
    forwarder.forward(
        new Attempt(
            call.exchange(),
            call.body(),
            upstream.address(),
            call.requestIdentifier(),
            headers,
            call.deadline(),
            new Progress(upstream, call, clock.instant())));
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
    public Outcome judge(ClientResponse response) {
      return LocalCall.judge(response);
    }

    @Override
    public void beforeDelivery(HttpServerExchange exchange) {
      call.listener().beforeDelivery(exchange, upstream.admission().load());
    }

    @Override
    public void ended(AttemptEnd end) {
      Duration latency = Duration.between(startedAt, clock.instant());
      long coldBefore = upstream.admission().coldReturns();
      Admission<LocalCall> released = release(end, latency);
      if (upstream.admission().coldReturns() > coldBefore) {
        metrics.returnedToCold();
      }
      recordEvidence(end, latency);
      carryOut(upstream, released);
      call.listener().ended(end);
    }

    private Admission<LocalCall> release(AttemptEnd end, Duration latency) {
      boolean shed =
          end.status().orElse(0) == StatusCodes.SERVICE_UNAVAILABLE
              || end.status().orElse(0) == StatusCodes.TOO_MANY_REQUESTS;
      if (shed) {
        return upstream.admission().shed();
      }
      return switch (end.fault()) {
        case NONE, LATE -> upstream.admission().answered(call.route(), latency);
        case UNREACHABLE, BROKEN -> upstream.admission().failed();
        case UNUSABLE, CALLER_GONE, REPEATED -> upstream.admission().abandoned();
      };
    }

    private void recordEvidence(AttemptEnd end, Duration latency) {
      if (end.fault() == AttemptEnd.Fault.CALLER_GONE) {
        return;
      }
      Series series =
          new Series(upstream.announced().service(), upstream.announced().version(), call.route());
      boolean failed =
          end.fault() != AttemptEnd.Fault.NONE || end.status().orElse(0) >= FIRST_SERVER_ERROR;
      if (failed) {
        evidence.failed(series);
      } else {
        evidence.answered(series, latency, isPastColdStart());
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
