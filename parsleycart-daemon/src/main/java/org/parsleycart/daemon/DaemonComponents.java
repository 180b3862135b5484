package org.parsleycart.daemon;

import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.parsleycart.daemon.call.AdmissionHandler;
import org.parsleycart.daemon.call.AdmissionService;
import org.parsleycart.daemon.call.CallSigner;
import org.parsleycart.daemon.call.CallerAuthentication;
import org.parsleycart.daemon.call.CallsInProgress;
import org.parsleycart.daemon.call.ConnectionPools;
import org.parsleycart.daemon.call.CrashDetector;
import org.parsleycart.daemon.call.EntryDependencies;
import org.parsleycart.daemon.call.EntryHandler;
import org.parsleycart.daemon.call.Forwarder;
import org.parsleycart.daemon.call.HopPolicy;
import org.parsleycart.daemon.call.IdempotencyGuard;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.call.MeshResponses;
import org.parsleycart.daemon.call.ReadDelays;
import org.parsleycart.daemon.call.UpstreamLifecycleHandler;
import org.parsleycart.daemon.control.DepartureRegister;
import org.parsleycart.daemon.control.LocalEvidence;
import org.parsleycart.daemon.control.LocalUsage;
import org.parsleycart.daemon.control.MaintenanceWorker;
import org.parsleycart.daemon.control.RolloutChangeWriter;
import org.parsleycart.daemon.control.RolloutWorker;
import org.parsleycart.daemon.control.UsageWorker;
import org.parsleycart.daemon.control.ZoneCapacity;
import org.parsleycart.daemon.operator.ChangeAcceptor;
import org.parsleycart.daemon.operator.ConfigurationActions;
import org.parsleycart.daemon.operator.ExplainActions;
import org.parsleycart.daemon.operator.OperatorHandler;
import org.parsleycart.daemon.operator.RolloutActions;
import org.parsleycart.daemon.operator.StatusActions;
import org.parsleycart.daemon.operator.UpstreamActions;
import org.parsleycart.daemon.settings.DaemonLimits;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.admission.IdempotencyKeyRegistry;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.decision.routing.RetryBudget;
import org.parsleycart.decision.routing.RetryBudgets;
import org.parsleycart.decision.routing.RetryPolicy;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.routing.UpstreamSelection;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.decision.usage.UsageRecorder;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.link.dialect.Dialect;
import org.tinylog.Logger;

/**
 * The components of one daemon, each constructed with everything that it needs.
 *
 * @param state the state that the call path reads
 * @param telemetry the metrics, logs, events and spans of the daemon
 * @param control the components that exchange control messages
 * @param upstreams the upstreams next to the daemon
 * @param callsInProgress the calls accepted from callers that have not ended
 * @param maintenance maintains the upstreams next to the daemon
 * @param rolloutWorker evaluates rollouts
 * @param departures stores the departures of the upstreams next to the daemon
 * @param usageWorker takes part in the usage duty, empty if the settings do not ask for it
 * @param entryHandler handles calls from callers
 * @param entryRefusal refuses calls from callers for which there is no memory
 * @param admissionHandler handles calls from other daemons
 * @param operatorHandler handles requests of operators
 */
record DaemonComponents(
    MeshState state,
    MonotonicClock clock,
    Telemetry telemetry,
    ControlComponents control,
    LocalUpstreams upstreams,
    CallsInProgress callsInProgress,
    MaintenanceWorker maintenance,
    RolloutWorker rolloutWorker,
    DepartureRegister departures,
    Optional<UsageWorker> usageWorker,
    HttpHandler entryHandler,
    HttpHandler entryRefusal,
    HttpHandler admissionHandler,
    HttpHandler operatorHandler) {
  private static final Duration IDEMPOTENCY_KEY_RETENTION = Duration.ofMinutes(10);
  private static final int MAXIMUM_IDEMPOTENCY_KEYS = 20_000;

  // -- construction

  static DaemonComponents create(
      DaemonSettings settings, MonotonicClock clock, ConnectionPools pools) throws IOException {
    Telemetry telemetry = Telemetry.create(settings.traces(), clock);
    PeerKeys peerKeys = PeerKeys.of(settings.peerKeys());
    MeshState state = meshState(settings, clock);
    UpstreamLoadTable loads = new UpstreamLoadTable();
    LocalUpstreams upstreams = new LocalUpstreams(admissionSettings(settings.limits()), clock);
    LocalEvidence localEvidence = new LocalEvidence(telemetry.callStatistics(), upstreams);
    LocalUsage localUsage = UsageComponents.localUsage(settings, clock);
    ControlComponents control =
        ControlComponents.create(
            settings, peerKeys, state, loads, localEvidence, localUsage, clock);
    ChangeAcceptor changeAcceptor = new ChangeAcceptor(control.authority(), control.gossip());
    Forwarder forwarder = new Forwarder(pools, clock);
    CallSigner signer = new CallSigner(peerKeys);
    Dialect dialect = settings.dialect().create();
    AdmissionService admission =
        admission(
            state,
            upstreams,
            forwarder,
            dialect,
            telemetry,
            localUsage.recorder(),
            crashDetector(state, pools, control),
            clock);
    EntryDependencies entryDependencies =
        entryDependencies(
            settings, dialect, state, control, loads, admission, forwarder, signer, telemetry);
    CallsInProgress callsInProgress = new CallsInProgress();
    EntryHandler entryHandler = new EntryHandler(entryDependencies);
    DepartureRegister departures = departures(settings, state, control, upstreams, clock);
    DaemonMetrics.register(
        telemetry.registry(),
        state,
        control.counters(),
        control.gossip(),
        control.peerSync(),
        upstreams,
        callsInProgress);
    return new DaemonComponents(
        state,
        clock,
        telemetry,
        control,
        upstreams,
        callsInProgress,
        new MaintenanceWorker(state, upstreams, control.gossip(), telemetry.events()),
        rolloutWorker(state, control, changeAcceptor, localEvidence),
        departures,
        UsageComponents.worker(settings, control, localUsage, telemetry.registry(), state),
        callsInProgress.countingHandler(entryHandler),
        entryHandler::refuseForMemory,
        admissionHandler(settings, state, admission, signer, telemetry, entryDependencies, clock),
        new UpstreamLifecycleHandler(
            dialect,
            upstreams,
            departures,
            state,
            operators(state, telemetry, control, changeAcceptor, upstreams, entryDependencies)));
  }

  private static MeshState meshState(DaemonSettings settings, MonotonicClock clock) {
    MeshState state =
        new MeshState(
            settings.zone(),
            settings.labels(),
            ConfigurationLog.empty(),
            new UrgentFacts(),
            new RequestQuarantine(clock, DaemonComponents::logQuarantine),
            new WorkerHealth());
    state.setCallerService(settings.upstreamService());
    return state;
  }

  private static HttpHandler admissionHandler(
      DaemonSettings settings,
      MeshState state,
      AdmissionService admission,
      CallSigner signer,
      Telemetry telemetry,
      EntryDependencies entryDependencies,
      MonotonicClock clock) {
    return new AdmissionHandler(
        state,
        admission,
        signer,
        telemetry.tracing(),
        entryDependencies.readDelays(),
        clock,
        settings.limits().replayableBodyBytes());
  }

  private static DepartureRegister departures(
      DaemonSettings settings,
      MeshState state,
      ControlComponents control,
      LocalUpstreams upstreams,
      MonotonicClock clock) {
    return new DepartureRegister(
        control.table(),
        settings.identifier(),
        upstreams,
        control.authority()::platformEra,
        clock,
        state.workers());
  }

  private static RolloutWorker rolloutWorker(
      MeshState state,
      ControlComponents control,
      ChangeAcceptor changeAcceptor,
      LocalEvidence localEvidence) {
    return new RolloutWorker(
        state,
        control.gossip(),
        control.platformWorker(),
        new RolloutChangeWriter(state, changeAcceptor::accept),
        localEvidence,
        control.frameClient(),
        control.platformClock());
  }

  private static AdmissionSettings admissionSettings(DaemonLimits limits) {
    return new AdmissionSettings(
        limits.coldLimit(),
        limits.queueLength(),
        limits.trustsSlots(),
        limits.linkBytesPerSecond());
  }

  private static AdmissionService admission(
      MeshState state,
      LocalUpstreams upstreams,
      Forwarder forwarder,
      Dialect dialect,
      Telemetry telemetry,
      UsageRecorder usage,
      CrashDetector crashDetector,
      MonotonicClock clock) {
    return new AdmissionService(
        state,
        upstreams,
        new IdempotencyGuard(
            new IdempotencyKeyRegistry(clock, IDEMPOTENCY_KEY_RETENTION, MAXIMUM_IDEMPOTENCY_KEYS)),
        forwarder,
        dialect,
        telemetry.callMetrics(),
        telemetry.callStatistics(),
        telemetry.callLog(),
        usage,
        crashDetector,
        clock);
  }

  private static CrashDetector crashDetector(
      MeshState state, ConnectionPools pools, ControlComponents control) {
    return new CrashDetector(
        state.quarantine(),
        pools,
        evidence ->
            control
                .gossip()
                .submit((protocol, pullPlanner) -> protocol.announceRequestEvidence(evidence)),
        control.clock());
  }

  private static void logQuarantine(RequestQuarantine.Quarantined quarantined) {
    Logger.warn(
        "request {} quarantined: {} processes ended under it: {}",
        Long.toHexString(quarantined.request()),
        quarantined.processes().size(),
        quarantined.processes());
  }

  private static EntryDependencies entryDependencies(
      DaemonSettings settings,
      Dialect dialect,
      MeshState state,
      ControlComponents control,
      UpstreamLoadTable loads,
      AdmissionService admission,
      Forwarder forwarder,
      CallSigner signer,
      Telemetry telemetry) {
    InstantSource clock = control.clock();
    return new EntryDependencies(
        state,
        settings.identifier(),
        new CallerAuthentication(
            dialect.headers(), control.freshness(), settings.revocation(), clock),
        loads,
        new UpstreamSelection(loads, settings.limits().balancing()),
        new RetryPolicy(
            RetryBudgets.of(
                () ->
                    new RetryBudget(
                        settings.limits().retriesPerCall(), settings.limits().savedRetries())),
            RetryBudgets.forRedirects()),
        admission,
        forwarder,
        signer,
        dialect,
        new MeshResponses(dialect),
        HopPolicy.toDaemon(dialect),
        telemetry.callMetrics(),
        telemetry.callLog(),
        telemetry.tracing(),
        settings.limits(),
        new ReadDelays(clock),
        clock,
        ThreadLocalRandom::current);
  }

  private static OperatorHandler operators(
      MeshState state,
      Telemetry telemetry,
      ControlComponents control,
      ChangeAcceptor changeAcceptor,
      LocalUpstreams upstreams,
      EntryDependencies entry) {
    ZoneCapacity capacity =
        new ZoneCapacity(state, candidate -> entry.loads().of(candidate).outstandingCalls());
    StatusActions status =
        new StatusActions(
            state,
            control.gossip(),
            control.platformWorker(),
            control.survey(),
            upstreams,
            telemetry.events(),
            telemetry.registry());
    return new OperatorHandler(
        new ConfigurationActions(state, changeAcceptor, control.platformWorker(), capacity),
        new RolloutActions(state, changeAcceptor, entry.clock()),
        status,
        new ExplainActions(
            state,
            control.gossip(),
            upstreams,
            entry.loads(),
            entry.selection().balancing(),
            entry.clock()),
        new UpstreamActions(upstreams));
  }

  // -- workers

  void startWorkers() {
    control.start();
    maintenance.start();
    rolloutWorker.start();
    departures.start();
    usageWorker.ifPresent(UsageWorker::start);
  }

  void stopWorkers() {
    usageWorker.ifPresent(UsageWorker::stop);
    departures.stop();
    rolloutWorker.stop();
    maintenance.stop();
    control.stop();
    telemetry.tracing().close();
  }
}
