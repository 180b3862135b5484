package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.daemon.call.AdmissionHandler;
import org.parsleycart.daemon.call.BoundedBufferPool;
import org.parsleycart.daemon.call.CallServer;
import org.parsleycart.daemon.call.ConnectionPools;
import org.parsleycart.daemon.control.UsageWorker;
import org.parsleycart.daemon.operator.OperatorHandler;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.settings.ListenAddresses;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.link.FrameServer;
import org.tinylog.Logger;

/** A running daemon. */
public final class Daemon implements AutoCloseable {
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(50);

  private final DaemonSettings settings;
  private final DaemonComponents components;
  private final FrameServer frameServer;
  private final CallServer server;

  // -- construction

  private Daemon(
      DaemonSettings settings,
      DaemonComponents components,
      FrameServer frameServer,
      CallServer server) {
    this.settings = settings;
    this.components = components;
    this.frameServer = frameServer;
    this.server = server;
  }

  /**
   * Opens the listeners and starts the background workers of a daemon.
   *
   * @return the running daemon
   * @throws IOException if an address or the trace file cannot be used
   */
  public static Daemon start(DaemonSettings settings) throws IOException {
    requireNonNull(settings, "settings is null");
    BoundedBufferPool buffers =
        new BoundedBufferPool(BUFFER_BYTES, settings.limits().protection().directBytes());
    MonotonicClock clock = MonotonicClock.start();
    ConnectionPools pools = new ConnectionPools(buffers, clock, settings.limits());
    DaemonComponents components = DaemonComponents.create(settings, clock, pools);
    FrameServer frameServer =
        FrameServer.open(
            settings.addresses().control(),
            components.control().envelopeCodec(),
            components.control().counters(),
            components.control().requestHandler(),
            (thread, cause) -> Logger.error(cause, "request of another daemon failed"));
    CallServer server = CallServer.create(settings.limits(), buffers);
    Daemon daemon = new Daemon(settings, components, frameServer, server);
    components.startWorkers();
    ConnectionGuards guards =
        ConnectionGuards.create(settings.limits().protection(), components.telemetry(), clock);
    ListenAddresses addresses = settings.addresses();
    server.listen(
        addresses.callers(),
        components.entryHandler(),
        components.entryRefusal(),
        guards.callers(),
        () -> components.state().configuration().callerLimits());
    server.listen(
        addresses.daemons(),
        components.admissionHandler(),
        AdmissionHandler::refuseForMemory,
        guards.daemons());
    listenForOperators(server, addresses.operators(), components, guards);
    if (addresses.readiness().isPresent()) {
      listenForOperators(server, addresses.readiness().get(), components, guards);
    }
    Logger.info("started in zone {} as {}", settings.zone(), settings.identifier());
    return daemon;
  }

  private static void listenForOperators(
      CallServer server,
      InetSocketAddress address,
      DaemonComponents components,
      ConnectionGuards guards)
      throws IOException {
    server.listen(
        address,
        components.operatorHandler(),
        OperatorHandler::refuseForMemory,
        guards.operators());
  }

  // -- settings

  /** Applies the settings that can change while the daemon runs: the service next to it. */
  void reload(DaemonSettings changed) {
    components.state().setCallerService(changed.upstreamService());
  }

  // -- stopping

  /**
   * Shuts down gracefully. Announces the departure and keeps serving calls until callers and other
   * daemons have been notified of it. Then refuses new calls, waits for running calls, and closes
   * the listeners.
   */
  @Override
  public void close() {
    Logger.info("shutting down: announcing the departure to the other daemons");
    components.state().setStopping();
    components.callsInProgress().closeConnectionsAfterResponse();
    components
        .control()
        .gossip()
        .submit((protocol, pullPlanner) -> protocol.announceSelf(MemberStatus.LEFT, List.of()));
    components.usageWorker().ifPresent(UsageWorker::beginStop);
    Instant shutdownStart = components.clock().instant();
    ShutdownSchedule schedule = ShutdownSchedule.of(settings.limits());
    waitUntil(shutdownStart.plus(schedule.closeUpstreamsAfter()), false);
    components.upstreams().closeAdmission(RefusalReason.DRAINING);
    waitUntil(shutdownStart.plus(schedule.refuseCallersAfter()), true);
    refuseNewCalls();
    waitUntil(shutdownStart.plus(schedule.abortCallsAfter()), true);
    int abortedCalls = components.upstreams().runningCalls();
    components.usageWorker().ifPresent(UsageWorker::storeCounts);
    server.stop();
    components.stopWorkers();
    closeFrameServer();
    Logger.info("stopped with {} calls still running", abortedCalls);
  }

  /** Refuses new calls from now on. Calls accepted earlier continue. */
  void refuseNewCalls() {
    components.state().setRefusingNewCalls();
  }

  /** Stops immediately, as if the process had crashed. Running calls are aborted. */
  void kill() {
    components.stopWorkers();
    server.stop();
    closeFrameServer();
  }

  private void closeFrameServer() {
    try {
      frameServer.close();
    } catch (IOException e) {
      Logger.info("failed to close the control listener: {}", e.getMessage());
    }
  }

  private void waitUntil(Instant deadline, boolean stopWhenIdle) {
    boolean waiting = true;
    while (waiting && components.clock().instant().isBefore(deadline)) {
      LockSupport.parkNanos(IDLE_CHECK_INTERVAL.toNanos());
      boolean idle =
          components.upstreams().runningCalls() == 0 && components.callsInProgress().count() == 0;
      waiting = !(stopWhenIdle && idle);
    }
  }
}
