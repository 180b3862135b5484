package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.daemon.call.CallServer;
import org.parsleycart.daemon.call.ConnectionPools;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.settings.ListenAddresses;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.link.FrameServer;
import org.tinylog.Logger;

/** A running daemon. */
public final class Daemon implements AutoCloseable {
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int BUFFERS_KEPT = 64;
  private static final Duration STEP = Duration.ofMillis(50);

  private final DaemonSettings settings;
  private final DaemonComponents parts;
  private final FrameServer frames;
  private final CallServer server;

  // -- construction

  private Daemon(
      DaemonSettings settings, DaemonComponents parts, FrameServer frames, CallServer server) {
    this.settings = settings;
    this.parts = parts;
    this.frames = frames;
    this.server = server;
  }

  /**
   * Starts a daemon.
   *
   * @param settings what it is told
   * @return the running daemon
   * @throws IOException when an address or the trace file cannot be used
   */
  public static Daemon start(DaemonSettings settings) throws IOException {
    requireNonNull(settings, "settings is null");
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, BUFFERS_KEPT, 0);
    MonotonicClock clock = MonotonicClock.start();
    ConnectionPools pools = new ConnectionPools(buffers, clock, settings.limits());
    DaemonComponents parts = DaemonComponents.create(settings, clock, pools);
    FrameServer frames =
        FrameServer.open(
            settings.addresses().control(),
            parts.control().envelope(),
            parts.control().counters(),
            parts.control().answers());
    CallServer server = CallServer.create(settings.limits(), buffers);
    Daemon daemon = new Daemon(settings, parts, frames, server);
    parts.startDuties();
    ListenAddresses addresses = settings.addresses();
    server.listen(
        addresses.callers(),
        parts.entryHandler(),
        () -> parts.state().configuration().callerLimits());
    server.listen(addresses.daemons(), parts.admissionHandler());
    server.listen(addresses.operators(), parts.operatorHandler());
    if (addresses.readiness().isPresent()) {
      server.listen(addresses.readiness().get(), parts.operatorHandler());
    }
    Logger.info("started in zone {} as {}", settings.zone(), settings.identifier());
    return daemon;
  }

  // -- settings

  /** Takes over the settings that may change while the daemon runs: the service beside it. */
  void reload(DaemonSettings changed) {
    parts.state().setCallerService(changed.upstreamService());
  }

  // -- stopping

  /**
   * Stops gracefully: announces that the daemon leaves, serves calls while callers and the others
   * learn of it, then refuses new ones, waits for running calls, and closes.
   */
  @Override
  public void close() {
    Logger.info("stopping: announcing the departure");
    parts.state().setStopping();
    parts.callsInProgress().closeConnectionsAfterResponse();
    parts
        .control()
        .gossip()
        .submit((protocol, pulls) -> protocol.announceSelf(MemberStatus.LEFT, List.of()));
    Instant begun = parts.clock().instant();
    ShutdownSchedule times = ShutdownSchedule.of(settings.limits());
    waitUntil(begun.plus(times.closeUpstreams()), false);
    parts.upstreams().closeAdmission(RefusalReason.DRAINING);
    waitUntil(begun.plus(times.closeEntry()), true);
    refuseNewCalls();
    waitUntil(begun.plus(times.end()), true);
    int cut = parts.upstreams().runningCalls();
    server.stop();
    parts.stopDuties();
    closeFrames();
    Logger.info("stopped with {} calls still running", cut);
  }

  /** Refuses calls from now on; those taken before go on. */
  void refuseNewCalls() {
    parts.state().setRefusingNewCalls();
  }

  /** Stops at once, as when the process dies; running calls are cut. */
  void kill() {
    parts.stopDuties();
    server.stop();
    closeFrames();
  }

  private void closeFrames() {
    try {
      frames.close();
    } catch (IOException e) {
      Logger.info("control listener did not close: {}", e.getMessage());
    }
  }

  private void waitUntil(Instant deadline, boolean endWhenIdle) {
    boolean waiting = true;
    while (waiting && parts.clock().instant().isBefore(deadline)) {
      LockSupport.parkNanos(STEP.toNanos());
      boolean idle = parts.upstreams().runningCalls() == 0 && parts.callsInProgress().count() == 0;
      waiting = !(endWhenIdle && idle);
    }
  }
}
