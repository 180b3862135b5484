package org.parsleycart.daemon;

import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.parsleycart.daemon.call.AdmissionHandler;
import org.parsleycart.daemon.call.AdmissionService;
import org.parsleycart.daemon.call.CallSigner;
import org.parsleycart.daemon.call.CallsInProgress;
import org.parsleycart.daemon.call.ConnectionPools;
import org.parsleycart.daemon.call.EntryDependencies;
import org.parsleycart.daemon.call.EntryHandler;
import org.parsleycart.daemon.call.Forwarder;
import org.parsleycart.daemon.call.HopPolicy;
import org.parsleycart.daemon.call.IdempotencyGuard;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.call.MeshResponses;
import org.parsleycart.daemon.call.ReadDelays;
import org.parsleycart.daemon.call.UpstreamLifecycleHandler;
import org.parsleycart.daemon.control.LocalEvidence;
import org.parsleycart.daemon.control.MaintenanceWorker;
import org.parsleycart.daemon.control.RolloutChangeWriter;
import org.parsleycart.daemon.control.RolloutWorker;
import org.parsleycart.daemon.control.ZoneCapacity;
import org.parsleycart.daemon.operator.ChangeAcceptor;
import org.parsleycart.daemon.operator.ConfigurationActions;
import org.parsleycart.daemon.operator.OperatorHandler;
import org.parsleycart.daemon.operator.RolloutActions;
import org.parsleycart.daemon.operator.StatusActions;
import org.parsleycart.daemon.operator.UpstreamActions;
import org.parsleycart.daemon.settings.DaemonLimits;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.admission.AdmissionSettings;
import org.parsleycart.decision.admission.IdempotencyKeyRegistry;
import org.parsleycart.decision.routing.RetryBudget;
import org.parsleycart.decision.routing.RetryBudgets;
import org.parsleycart.decision.routing.RetryPolicy;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.routing.UpstreamSelection;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.link.dialect.Dialect;

/**
 * The parts of one daemon, each constructed with all that it needs.
 *
 * @param state what calls read
 * @param clock the time
 * @param reports what the daemon tells of itself
 * @param control the parts that exchange control messages
 * @param upstreams the upstreams beside the daemon
 * @param callsInProgress the calls taken from callers
 * @param upkeep the upkeep duty
 * @param judging the judging duty
 * @param entryHandler takes calls from callers
 * @param admissionHandler takes calls from other daemons
 * @param operatorHandler takes requests of operators
 */
record DaemonComponents(
    MeshState state,
    MonotonicClock clock,
    Telemetry reports,
    ControlComponents control,
    LocalUpstreams upstreams,
    CallsInProgress callsInProgress,
    MaintenanceWorker upkeep,
    RolloutWorker judging,
    HttpHandler entryHandler,
    HttpHandler admissionHandler,
    HttpHandler operatorHandler) {
  private static final Duration KEYS_KEPT = Duration.ofMinutes(10);
  private static final int MOST_KEYS = 20_000;

  // -- construction

  static DaemonComponents create(
      DaemonSettings settings, MonotonicClock clock, ConnectionPools pools) throws IOException {
    Telemetry reports = Telemetry.create(settings.traces(), clock);
    PeerKeys keys = PeerKeys.of(settings.peerKeys());
    MeshState state =
        new MeshState(
            settings.zone(), settings.labels(), ConfigurationLog.empty(), new UrgentFacts());
    state.setCallerService(settings.upstreamService());
    UpstreamLoadTable loads = new UpstreamLoadTable();
    LocalUpstreams upstreams = new LocalUpstreams(admissionSettings(settings.limits()), clock);
    LocalEvidence evidence = new LocalEvidence(reports.evidence(), upstreams);
    ControlComponents control =
        ControlComponents.create(settings, keys, state, loads, evidence, clock);
    ChangeAcceptor acceptance = new ChangeAcceptor(control.authority(), control.gossip());
    Forwarder forwarder = new Forwarder(pools, clock);
    CallSigner signature = new CallSigner(keys);
    Dialect dialect = settings.dialect().create();
    AdmissionService admission = admission(state, upstreams, forwarder, dialect, reports, clock);
    EntryDependencies entryParts =
        entryParts(
            settings, dialect, state, loads, admission, forwarder, signature, reports, clock);
    CallsInProgress callsInProgress = new CallsInProgress();
    DaemonMetrics.register(
        reports.registry(),
        state,
        control.counters(),
        control.gossip(),
        upstreams,
        callsInProgress);
    return new DaemonComponents(
        state,
        clock,
        reports,
        control,
        upstreams,
        callsInProgress,
        new MaintenanceWorker(state, upstreams, control.gossip(), reports.events()),
        judgingDuty(state, control, acceptance, evidence),
        callsInProgress.countingHandler(new EntryHandler(entryParts)),
        new AdmissionHandler(
            state,
            admission,
            signature,
            reports.tracing(),
            entryParts.readDelays(),
            clock,
            settings.limits().replayableBodyBytes()),
        new UpstreamLifecycleHandler(
            dialect,
            upstreams,
            state,
            operatorHandler(state, reports, control, acceptance, upstreams, loads, clock)));
  }

  private static RolloutWorker judgingDuty(
      MeshState state,
      ControlComponents control,
      ChangeAcceptor acceptance,
      LocalEvidence evidence) {
    return new RolloutWorker(
        state,
        control.gossip(),
        control.platformDuty(),
        new RolloutChangeWriter(state, acceptance::accept),
        evidence,
        control.frames(),
        control.platformClock());
  }

  private static AdmissionSettings admissionSettings(DaemonLimits limits) {
    return new AdmissionSettings(limits.coldLimit(), limits.queueLength(), limits.trustsSlots());
  }

  private static AdmissionService admission(
      MeshState state,
      LocalUpstreams upstreams,
      Forwarder forwarder,
      Dialect dialect,
      Telemetry reports,
      MonotonicClock clock) {
    return new AdmissionService(
        state,
        upstreams,
        new IdempotencyGuard(new IdempotencyKeyRegistry(clock, KEYS_KEPT, MOST_KEYS)),
        forwarder,
        dialect,
        reports.metrics(),
        reports.evidence(),
        reports.calls(),
        clock);
  }

  private static EntryDependencies entryParts(
      DaemonSettings settings,
      Dialect dialect,
      MeshState state,
      UpstreamLoadTable loads,
      AdmissionService admission,
      Forwarder forwarder,
      CallSigner signature,
      Telemetry reports,
      MonotonicClock clock) {
    return new EntryDependencies(
        state,
        settings.identifier(),
        loads,
        new UpstreamSelection(loads),
        new RetryPolicy(
            RetryBudgets.of(
                () ->
                    new RetryBudget(
                        settings.limits().retriesPerCall(), settings.limits().savedRetries())),
            RetryBudgets.forRedirects()),
        admission,
        forwarder,
        signature,
        dialect,
        new MeshResponses(dialect),
        HopPolicy.toDaemon(dialect),
        reports.metrics(),
        reports.calls(),
        reports.tracing(),
        settings.limits(),
        new ReadDelays(clock),
        clock,
        ThreadLocalRandom::current);
  }

  private static OperatorHandler operatorHandler(
      MeshState state,
      Telemetry reports,
      ControlComponents control,
      ChangeAcceptor acceptance,
      LocalUpstreams upstreams,
      UpstreamLoadTable loads,
      MonotonicClock clock) {
    ZoneCapacity capacity =
        new ZoneCapacity(state, candidate -> loads.of(candidate).outstandingCalls());
    StatusActions status =
        new StatusActions(
            state,
            control.gossip(),
            control.platformDuty(),
            control.survey(),
            upstreams,
            reports.events(),
            reports.registry());
    return new OperatorHandler(
        new ConfigurationActions(state, acceptance, control.platformDuty(), capacity),
        new RolloutActions(state, acceptance, clock),
        status,
        new UpstreamActions(upstreams));
  }

  // -- duties

  void startDuties() {
    control.start();
    upkeep.start();
    judging.start();
  }

  void stopDuties() {
    judging.stop();
    upkeep.stop();
    control.stop();
    reports.tracing().close();
  }
}
