package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.daemon.call.ConnectionPools;
import org.parsleycart.daemon.settings.DaemonLimits;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.link.FrameServer;
import org.tinylog.Logger;
import org.xnio.Options;

/** A running daemon. */
public final class Daemon implements AutoCloseable {
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int BUFFERS_KEPT = 64;
  private static final int MAXIMUM_HEADER_BYTES = 16 * 1024;
  private static final int IDLE_TIMEOUT_MILLISECONDS = 60_000;
  private static final int WORKER_THREADS = 4;
  private static final long STACK_BYTES = 256 * 1024;
  private static final Duration SPREADING_TIME = Duration.ofSeconds(2);
  private static final Duration STEP = Duration.ofMillis(50);

  private final DaemonSettings settings;
  private final DaemonParts parts;
  private final FrameServer frames;
  private final Undertow server;

  // -- construction

  private Daemon(DaemonSettings settings, DaemonParts parts, FrameServer frames, Undertow server) {
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
    DaemonParts parts = DaemonParts.create(settings, clock, pools);
    FrameServer frames =
        FrameServer.open(
            settings.addresses().control(),
            parts.control().envelope(),
            parts.control().counters(),
            parts.control().answers());
    Undertow server = buildServer(settings, parts, buffers);
    Daemon daemon = new Daemon(settings, parts, frames, server);
    parts.startDuties();
    server.start();
    Logger.info("started in zone {} as {}", settings.zone(), settings.identifier());
    return daemon;
  }

  private static Undertow buildServer(
      DaemonSettings settings, DaemonParts parts, DefaultByteBufferPool buffers) {
    DaemonLimits limits = settings.limits();
    Undertow.Builder builder =
        Undertow.builder()
            .setIoThreads(limits.inputOutputThreads())
            .setByteBufferPool(buffers)
            .setWorkerOption(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
            .setWorkerOption(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
            .setWorkerOption(Options.STACK_SIZE, STACK_BYTES)
            .setSocketOption(Options.TCP_NODELAY, true)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maximumBodyBytes())
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLISECONDS)
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false);
    listen(builder, settings.addresses().callers(), parts.entryHandler());
    listen(builder, settings.addresses().daemons(), parts.admissionHandler());
    listen(builder, settings.addresses().operators(), parts.operatorHandler());
    return builder.build();
  }

  private static void listen(
      Undertow.Builder builder, InetSocketAddress address, HttpHandler handler) {
    builder.addHttpListener(address.getPort(), address.getAddress().getHostAddress(), handler);
  }

  // -- stopping

  /**
   * Stops gracefully: announces that the daemon leaves, goes on with calls until the others know,
   * waits for running calls, then closes.
   */
  @Override
  public void close() {
    Logger.info("stopping: announcing the departure");
    parts.state().setStopping();
    parts.callsInProgress().announceClosing();
    parts
        .control()
        .gossip()
        .submit((protocol, pulls) -> protocol.announceSelf(MemberStatus.LEFT, List.of()));
    Instant known = parts.clock().instant().plus(SPREADING_TIME);
    waitUntil(known, false);
    parts.upstreams().closeAll(RefusalReason.DRAINING);
    waitUntil(parts.clock().instant().plus(settings.limits().drainTimeout()), true);
    int cut = parts.upstreams().running();
    server.stop();
    parts.stopDuties();
    closeFrames();
    Logger.info("stopped with {} calls still running", cut);
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
      boolean idle = parts.upstreams().running() == 0 && parts.callsInProgress().count() == 0;
      waiting = !(endWhenIdle && idle);
    }
  }
}
