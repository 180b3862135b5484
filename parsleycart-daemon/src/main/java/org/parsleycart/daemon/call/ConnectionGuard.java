package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.parsleycart.daemon.report.CallLog;
import org.parsleycart.decision.protection.ConnectionUsage;
import org.parsleycart.decision.protection.ProtectionLimits;
import org.parsleycart.decision.protection.ProtectionRule;
import org.parsleycart.model.document.Document;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Accounts for what the connections to one group of listeners hold, and closes those that the rule
 * names. Thread-safe.
 *
 * <p>A closed connection gets no response: its request may have been passed on in part, so that no
 * status could say that it has not run.
 */
public final class ConnectionGuard {
  /**
   * Longer between two sweeps only after a pause of the process, whose clients had no chance to
   * make progress.
   */
  private static final Duration MAXIMUM_SWEEP_GAP = Duration.ofSeconds(2);

  /**
   * Bounds the descriptors of connections that are being closed. While their thread hangs, new
   * connections are refused rather than opened in the place of those that are still there.
   */
  private static final int MAXIMUM_CLOSING = 64;

  private final String name;
  private final int maximumConnections;
  private final ProtectionRule rule;
  private final PipelineGate pipelineGate;
  private final HeldBytes bodies;
  private final InstantSource clock;
  private final CallLog log;
  private final Set<GuardedConnection> connections = ConcurrentHashMap.newKeySet();
  private final Set<GuardedConnection> closing = ConcurrentHashMap.newKeySet();
  private final AtomicLong closedCount = new AtomicLong();
  private final AtomicLong refusedCount = new AtomicLong();
  private volatile long heldBytes;
  private Instant sweptAt;

  // -- construction

  /**
   * Creates a guard without connections.
   *
   * @param name the name of the group in logs and metrics
   * @param maximumConnections how many connections may be open at once
   * @param maximumPipelined how many pipelined requests may be handled at once
   */
  public ConnectionGuard(
      String name,
      int maximumConnections,
      int maximumPipelined,
      ProtectionLimits limits,
      InstantSource clock,
      CallLog log) {
    this.name = requireNonNull(name, "name is null");
    this.maximumConnections = maximumConnections;
    this.rule = new ProtectionRule(limits);
    this.bodies = new HeldBytes(limits.heldBytes());
    this.pipelineGate = new PipelineGate(maximumPipelined);
    this.clock = requireNonNull(clock, "clock is null");
    this.log = requireNonNull(log, "log is null");
    this.sweptAt = clock.instant();
  }

  // -- connections

  /**
   * Accepts a new connection, or closes it if all are taken and each by an ordinary client. Returns
   * whether it is accepted.
   */
  boolean accept(StreamConnection connection) {
    if (connections.size() >= maximumConnections) {
      Optional<GuardedConnection> replaced = rule.connectionToReplace(measure());
      if (connections.size() >= maximumConnections) {
        replaced.ifPresent(each -> close(each, "connections", 0));
      }
    }
    if (isFull()) {
      refusedCount.incrementAndGet();
      IoUtils.safeClose(connection);
      logClosed(connection, "connections", 0);
      return false;
    }
    return add(connection);
  }

  private boolean isFull() {
    return connections.size() >= maximumConnections
        || connections.size() + closing.size() >= maximumConnections + MAXIMUM_CLOSING;
  }

  private boolean add(StreamConnection connection) {
    GuardedConnection guarded = GuardedConnection.install(connection, bodies, clock.instant());
    return connections.add(guarded);
  }

  /** Measures all connections and closes those that the rule names. Called by one thread. */
  void sweep() {
    forgiveAfterPause(clock.instant());
    Map<GuardedConnection, ConnectionUsage> usages = measure();
    heldBytes = usages.values().stream().mapToLong(ConnectionUsage::heldBytes).sum();
    List<GuardedConnection> closed = rule.connectionsToClose(usages);
    closed.forEach(
        each ->
            close(
                each,
                usages.get(each).phase().name().toLowerCase(Locale.ROOT),
                usages.get(each).withoutProgress().toMillis()));
  }

  private synchronized void forgiveAfterPause(Instant now) {
    if (Duration.between(sweptAt, now).compareTo(MAXIMUM_SWEEP_GAP) > 0) {
      connections.forEach(each -> each.restartProgress(now));
    }
    sweptAt = now;
  }

  private synchronized Map<GuardedConnection, ConnectionUsage> measure() {
    // The close listener of a connection belongs to the server.
    connections.removeIf(each -> !each.connection().isOpen());
    closing.removeIf(each -> !each.connection().isOpen());
    Instant now = clock.instant();
    Map<GuardedConnection, ConnectionUsage> usages = new HashMap<>();
    connections.forEach(each -> usages.put(each, each.usage(now)));
    return usages;
  }

  private void close(GuardedConnection guarded, String cause, long stalledMilliseconds) {
    closing.add(guarded);
    connections.remove(guarded);
    closedCount.incrementAndGet();
    logClosed(guarded.connection(), cause, stalledMilliseconds);
    guarded.connection().getIoThread().execute(guarded::abort);
  }

  private void logClosed(StreamConnection connection, String cause, long stalledMilliseconds) {
    InetSocketAddress client = connection.getPeerAddress(InetSocketAddress.class);
    log.write(
        "connection-closed",
        "",
        Document.mapping()
            .with("listener", name)
            .with("cause", cause)
            .with("client", client == null ? "" : client.getAddress().getHostAddress())
            .with("stalledMs", stalledMilliseconds));
  }

  // -- requests

  /** Returns a handler that accounts for each request and delegates to another. */
  HttpHandler guard(HttpHandler next) {
    requireNonNull(next, "next is null");
    return exchange -> handle(exchange, next);
  }

  private void handle(HttpServerExchange exchange, HttpHandler next) throws Exception {
    Optional<GuardedConnection> guarded = DisconnectDetectingConduit.guardOf(exchange);
    if (guarded.isEmpty()) {
      next.handleRequest(exchange);
      return;
    }
    boolean isPipelined = guarded.get().begin(exchange);
    exchange.addExchangeCompleteListener(
        (completed, nextListener) -> {
          guarded.get().end(hasMore(completed));
          nextListener.proceed();
        });
    if (isPipelined) {
      pipelineGate.handle(exchange, next);
    } else {
      next.handleRequest(exchange);
    }
  }

  private static boolean hasMore(HttpServerExchange exchange) {
    boolean hasParsed =
        exchange.getConnection() instanceof AbstractServerConnection connection
            && connection.getExtraBytes() != null;
    return hasParsed
        || DisconnectDetectingConduit.of(exchange)
            .filter(DisconnectDetectingConduit::hasBuffered)
            .isPresent();
  }

  // -- queries

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size() + closing.size();
  }

  /** Returns the bytes that all connections held when they were last measured. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns how many connections have been closed because they held too much or stood still. */
  public long closedCount() {
    return closedCount.get();
  }

  /** Returns how many new connections have been refused. */
  public long refusedCount() {
    return refusedCount.get();
  }

  /** Returns the number of pipelined requests that wait for their turn. */
  public int waitingPipelinedCount() {
    return pipelineGate.waitingCount();
  }
}
