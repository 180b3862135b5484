package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.parsleycart.daemon.call.AttemptEnd.Fault;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.decision.Outcome;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.Rendezvous;
import org.parsleycart.decision.routing.Candidate;
import org.parsleycart.decision.routing.CandidatePool;
import org.parsleycart.decision.routing.UpstreamDirectory;
import org.parsleycart.decision.routing.UpstreamLoad;
import org.parsleycart.decision.routing.VersionChoice;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Route;
import org.parsleycart.model.Service;
import org.xnio.IoUtils;

/**
 * One call at its entry: attempts until one is answered, the contract forbids another, or the
 * deadline passes. Used by the input/output thread of its exchange.
 */
final class EntryCall {
  private static final int FIRST_SERVER_ERROR = 500;

  private final EntryParts parts;
  private final HttpServerExchange exchange;
  private final String identifier;
  private final Route route;
  private final Contract contract;
  private final Instant arrivedAt;
  private final Instant deadline;
  private final CallTracing.CallSpan span;
  private final Optional<String> key;
  private final Set<String> tried = new HashSet<>();
  private int attempts;
  private boolean mayHaveRun;
  private boolean late;
  private RefusalReason lastRefusal = RefusalReason.NO_UPSTREAM;

  // -- construction

  EntryCall(
      EntryParts parts,
      HttpServerExchange exchange,
      String identifier,
      Route route,
      Contract contract,
      Instant arrivedAt,
      Instant deadline,
      CallTracing.CallSpan span) {
    this.parts = requireNonNull(parts, "parts is null");
    this.exchange = requireNonNull(exchange, "exchange is null");
    this.identifier = requireNonNull(identifier, "identifier is null");
    this.route = requireNonNull(route, "route is null");
    this.contract = requireNonNull(contract, "contract is null");
    this.arrivedAt = requireNonNull(arrivedAt, "arrivedAt is null");
    this.deadline = requireNonNull(deadline, "deadline is null");
    this.span = requireNonNull(span, "span is null");
    this.key = keyOf(exchange, contract);
  }

  // -- progress

  void start() {
    parts.retries().called();
    RequestBody.gather(
        exchange, parts.limits().replayableBodyBytes(), this::attempt, this::callerBrokeOff);
  }

  private void callerBrokeOff(IOException cause) {
    span.with("parsleycart.fault", String.valueOf(cause.getMessage()));
    IoUtils.safeClose(exchange.getConnection());
    finish(Outcome.NOT_RUN);
  }

  private void attempt(RequestBody body) {
    Optional<Candidate> candidate = choose();
    if (candidate.isEmpty()) {
      giveUp();
      return;
    }
    attempts++;
    tried.add(candidate.get().identifier());
    UpstreamLoad load = parts.loads().of(candidate.get());
    load.started();
    if (candidate.get().daemon().equals(parts.identifier())) {
      parts.metrics().servedLocally();
      admitLocally(body, candidate.get(), load);
    } else {
      sendToDaemon(body, candidate.get(), load);
    }
  }

  private Optional<Candidate> choose() {
    Configuration configuration = parts.state().configuration();
    Optional<Service> service = configuration.service(route.service());
    if (service.isEmpty()) {
      return Optional.empty();
    }
    RandomGenerator versions =
        key.<RandomGenerator>map(each -> new SplittableRandom(each.hashCode()))
            .orElseGet(parts.random());
    VersionChoice choice =
        VersionChoice.of(configuration, service.get(), parts.state().facts(), versions);
    UpstreamDirectory directory = parts.state().directory();
    return choose(directory.pool(route.service(), choice.version()))
        .or(
            () ->
                choice
                    .standIn()
                    .flatMap(version -> choose(directory.pool(route.service(), version))));
  }

  /** Chooses by load, or, for a request that must not run twice, always the same upstream. */
  private Optional<Candidate> choose(CandidatePool pool) {
    if (key.isPresent()) {
      Optional<String> owner = Rendezvous.owner(pool.all().map(Candidate::identifier), key.get());
      return attempts > 0
          ? Optional.empty()
          : pool.all().filter(each -> owner.equals(Optional.of(each.identifier()))).findFirst();
    }
    return parts.selection().choose(pool, tried, parts.clock().instant(), parts.random().get());
  }

  private static Optional<String> keyOf(HttpServerExchange exchange, Contract contract) {
    return contract.requestKind().isIdempotent()
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
                identifier,
                candidate.identifier(),
                route.name(),
                contract,
                deadline,
                span.traceParent(),
                new LocalProgress(body, load, candidate.zone())));
  }

  private void sendToDaemon(RequestBody body, Candidate candidate, UpstreamLoad load) {
    Map<HttpString, String> headers = new LinkedHashMap<>();
    headers.put(CallHeaders.UPSTREAM, candidate.identifier());
    headers.put(CallHeaders.ROUTE, route.name());
    headers.put(CallHeaders.TRACE_PARENT, span.traceParent());
    headers.put(
        CallHeaders.SIGNATURE,
        parts.signature().sign(identifier, candidate.identifier(), route.name()));
    long remaining = Duration.between(parts.clock().instant(), deadline).toMillis();
    headers.put(CallHeaders.DEADLINE, Long.toString(Math.max(0, remaining)));
    parts
        .forwarder()
        .forward(
            new Attempt(
                exchange,
                body,
                candidate.callAddress(),
                identifier,
                headers,
                deadline,
                new RemoteProgress(body, load, candidate.zone())));
  }

  // -- endings

  private void attemptEnded(RequestBody body, AttemptEnd end) {
    if (end.delivered()) {
      finish(end.outcome());
      return;
    }
    mayHaveRun |= end.outcome() == Outcome.UNKNOWN;
    late |= end.fault() == Fault.LATE;
    boolean bodyUntouched = body.isReplayable() || end.fault() == Fault.UNREACHABLE;
    Duration remaining = Duration.between(parts.clock().instant(), deadline);
    if (bodyUntouched && tryAgain(end, remaining)) {
      parts.metrics().retried();
      attempt(body);
    } else {
      giveUp();
    }
  }

  private boolean tryAgain(AttemptEnd end, Duration remaining) {
    boolean refused = end.outcome() == Outcome.NOT_RUN && end.fault() == Fault.NONE;
    return refused
        ? parts.retries().tryAgainAfterRefusal(contract, attempts, lastRefusal, remaining)
        : parts.retries().tryAgain(contract, attempts, end.outcome(), remaining);
  }

  private void giveUp() {
    if (exchange.isResponseStarted()) {
      IoUtils.safeClose(exchange.getConnection());
    } else if (mayHaveRun) {
      Refusals.unknown(exchange, identifier, late);
    } else {
      parts.metrics().refused(lastRefusal);
      Refusals.notRun(exchange, identifier, lastRefusal);
    }
    finish(mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
  }

  private void finish(Outcome outcome) {
    parts.metrics().ended(outcome, Duration.between(arrivedAt, parts.clock().instant()));
    span.with("parsleycart.attempts", Integer.toString(attempts)).end(outcome);
  }

  private void noteEnd(UpstreamLoad load, AttemptEnd end) {
    load.ended();
    if (end.delivered() && end.status().isPresent()) {
      boolean failed = end.status().getAsInt() >= FIRST_SERVER_ERROR;
      load.answered(failed, parts.clock().instant());
    }
    if (end.outcome() == Outcome.NOT_RUN && end.fault() == Fault.NONE) {
      load.refused(lastRefusal, parts.clock().instant());
    }
    noteFailure(load, end.fault());
  }

  private void noteFailure(UpstreamLoad load, Fault fault) {
    boolean daemonAtFault = fault == Fault.UNREACHABLE || fault == Fault.BROKEN;
    if (daemonAtFault || fault == Fault.LATE || fault == Fault.UNUSABLE) {
      load.failed(parts.clock().instant());
    }
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
    public void refused(RefusalReason reason) {
      lastRefusal = reason;
      AttemptEnd end = AttemptEnd.failed(Outcome.NOT_RUN, Fault.NONE);
      noteEnd(load, end);
      attemptEnded(body, end);
    }

    @Override
    public void beforeDelivery(HttpServerExchange delivered, LoadReport report) {
      load.reported(report);
      delivered.getResponseHeaders().put(CallHeaders.OUTCOME, Outcome.ANSWERED.toString());
      delivered.getResponseHeaders().put(CallHeaders.ZONE, zone);
    }

    @Override
    public void ended(AttemptEnd end) {
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
    public Outcome judge(ClientResponse response) {
      String report = response.getResponseHeaders().getFirst(CallHeaders.LOAD);
      Optional.ofNullable(report).flatMap(LoadReport::parse).ifPresent(load::reported);
      String reason = response.getResponseHeaders().getFirst(CallHeaders.REASON);
      lastRefusal = RefusalReason.ofLabel(reason).orElse(RefusalReason.UNREACHABLE);
      String outcome = response.getResponseHeaders().getFirst(CallHeaders.OUTCOME);
      return Optional.ofNullable(outcome).flatMap(Outcome::ofLabel).orElse(Outcome.UNKNOWN);
    }

    @Override
    public void beforeDelivery(HttpServerExchange delivered) {
      delivered.getResponseHeaders().put(CallHeaders.OUTCOME, Outcome.ANSWERED.toString());
      delivered.getResponseHeaders().put(CallHeaders.ZONE, zone);
    }

    @Override
    public void ended(AttemptEnd end) {
      noteEnd(load, end);
      if (end.fault() == Fault.UNREACHABLE) {
        lastRefusal = RefusalReason.UNREACHABLE;
      }
      attemptEnded(body, end);
    }
  }
}
