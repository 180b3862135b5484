package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
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
import java.util.function.Consumer;
import org.parsleycart.daemon.report.CallLog;
import org.parsleycart.decision.pipeline.SafeRequestHead;
import org.parsleycart.decision.protection.ConnectionUsage;
import org.parsleycart.decision.protection.MemoryBudget;
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
  private final MemoryBudget.Share heap;
  private final MemoryBudget.Share buffers;
  private final boolean needsParameters;
  private final InstantSource clock;
  private final CallLog log;
  private final Set<GuardedConnection> connections = ConcurrentHashMap.newKeySet();
  private final Set<GuardedConnection> closing = ConcurrentHashMap.newKeySet();
  private final AtomicLong closedCount = new AtomicLong();
  private final AtomicLong refusedCount = new AtomicLong();
  private final AtomicLong refusedRequestCount = new AtomicLong();
  private volatile long heldBytes;
  private Instant sweptAt;

  // -- construction

  /**
   * Creates a guard without connections.
   *
   * @param name the name of the group in logs and metrics
   * @param maximumConnections how many connections may be open at once
   * @param maximumPipelined how many pipelined requests may be handled at once
   * @param heap the heap that the connections may hold
   * @param buffers the buffers that the connections may hold
   * @param needsParameters whether requests are handled by their parsed parameters
   */
  public ConnectionGuard(
      String name,
      int maximumConnections,
      int maximumPipelined,
      ProtectionLimits limits,
      MemoryBudget.Share heap,
      MemoryBudget.Share buffers,
      boolean needsParameters,
      InstantSource clock,
      CallLog log) {
    this.needsParameters = needsParameters;
    this.name = requireNonNull(name, "name is null");
    this.maximumConnections = maximumConnections;
    this.rule = new ProtectionRule(limits);
    this.heap = requireNonNull(heap, "heap is null");
    this.buffers = requireNonNull(buffers, "buffers is null");
    this.pipelineGate = new PipelineGate(maximumPipelined);
    this.clock = requireNonNull(clock, "clock is null");
    this.log = requireNonNull(log, "log is null");
    this.sweptAt = clock.instant();
  }

  // -- connections

  /**
   * Accepts a new connection, or closes it if all are taken and each by an ordinary client. Returns
   * its account, empty if it is not accepted.
   */
  Optional<ConnectionAccount> accept(StreamConnection connection) {
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
      return Optional.empty();
    }
    return Optional.of(add(connection));
  }

  private boolean isFull() {
    return connections.size() >= maximumConnections
        || connections.size() + closing.size() >= maximumConnections + MAXIMUM_CLOSING;
  }

  private ConnectionAccount add(StreamConnection connection) {
    ConnectionAccount account = new ConnectionAccount(heap, buffers);
    GuardedConnection guarded =
        GuardedConnection.install(
            connection, account, cause -> recordClosed(connection, cause, 0), clock);
    connections.add(guarded);
    return account;
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
    connections.removeIf(ConnectionGuard::isReleased);
    closing.removeIf(ConnectionGuard::isReleased);
    Instant now = clock.instant();
    Map<GuardedConnection, ConnectionUsage> usages = new HashMap<>();
    connections.forEach(each -> usages.put(each, each.usage(now)));
    return usages;
  }

  private static boolean isReleased(GuardedConnection guarded) {
    boolean isClosed = !guarded.connection().isOpen();
    if (isClosed) {
      guarded.release();
    }
    return isClosed;
  }

  private void close(GuardedConnection guarded, String cause, long stalledMilliseconds) {
    closing.add(guarded);
    connections.remove(guarded);
    recordClosed(guarded.connection(), cause, stalledMilliseconds);
    guarded.connection().getIoThread().execute(guarded::abort);
  }

  private void recordClosed(StreamConnection connection, String cause, long stalledMilliseconds) {
    closedCount.incrementAndGet();
    logClosed(connection, cause, stalledMilliseconds);
  }

  private void logClosed(StreamConnection connection, String cause, long stalledMilliseconds) {
    Optional<InetSocketAddress> client =
        Optional.ofNullable(connection.getPeerAddress(InetSocketAddress.class));
    log.write(
        "connection-closed",
        "",
        lineOf(client).with("cause", cause).with("stalledMs", stalledMilliseconds));
  }

  private Document.MappingBuilder lineOf(Optional<InetSocketAddress> client) {
    return Document.mapping()
        .with("listener", name)
        .with("client", client.map(each -> each.getAddress().getHostAddress()).orElse(""));
  }

  // -- requests

  /**
   * Returns a handler that accounts for each request and delegates to another.
   *
   * @param refusal answers the requests for which there is no memory
   */
  HttpHandler guard(HttpHandler next, HttpHandler refusal) {
    requireNonNull(next, "next is null");
    requireNonNull(refusal, "refusal is null");
    return exchange -> handle(exchange, next, refusal);
  }

  private void handle(HttpServerExchange exchange, HttpHandler next, HttpHandler refusal)
      throws Exception {
    Optional<PipelineLane> lane = DisconnectDetectingConduit.laneOf(exchange);
    if (lane.isPresent()) {
      handleInLane(exchange, lane.get(), next, refusal);
      return;
    }
    Optional<GuardedConnection> guarded = DisconnectDetectingConduit.guardOf(exchange);
    if (guarded.isEmpty()) {
      next.handleRequest(exchange);
      return;
    }
    boolean isPipelined = guarded.get().begin(exchange);
    exchange.addExchangeCompleteListener(
        (completed, nextListener) -> {
          Optional<ByteBuffer> parsed = parsedOfNext(completed);
          guarded.get().end(parsed.isPresent() || hasReadAhead(completed), parsed);
          nextListener.proceed();
        });
    if (!needsParameters) {
      RequestHeads.discardParameters(exchange);
    }
    boolean hasMore = parsedOfNext(exchange).isPresent();
    boolean isHeld = guarded.get().tryHoldRequest(exchange, hasMore);
    beginInPipeline(exchange, isHeld);
    if (!isHeld) {
      refuse(exchange, refusal);
    } else if (isPipelined) {
      pipelineGate.handle(exchange, next);
    } else {
      next.handleRequest(exchange);
    }
  }

  private void handleInLane(
      HttpServerExchange exchange, PipelineLane lane, HttpHandler next, HttpHandler refusal)
      throws Exception {
    lane.begin(exchange);
    if (!needsParameters) {
      RequestHeads.discardParameters(exchange);
    }
    if (lane.account().tryHoldHead(RequestHeads.heapBytes(exchange))) {
      next.handleRequest(exchange);
    } else {
      refuse(exchange, refusal);
    }
  }

  private static void beginInPipeline(HttpServerExchange exchange, boolean isHandled) {
    DisconnectDetectingConduit.pipelineOf(exchange)
        .ifPresent(
            pipeline -> {
              exchange.addExchangeCompleteListener(
                  (completed, nextListener) -> {
                    pipeline.end();
                    nextListener.proceed();
                  });
              if (pipeline.begin(exchange) && isHandled) {
                unreadNext(exchange);
              }
            });
  }

  /** Moves the next request, if the server has read all of it, to where it is read ahead. */
  private static void unreadNext(HttpServerExchange exchange) {
    if (exchange.getConnection() instanceof AbstractServerConnection connection
        && connection.getExtraBytes() != null
        && SafeRequestHead.lengthIn(connection.getExtraBytes().getBuffer()).isPresent()) {
      try (PooledByteBuffer extra = connection.getExtraBytes()) {
        DisconnectDetectingConduit.of(exchange)
            .ifPresent(conduit -> conduit.unread(extra.getBuffer()));
      }
      connection.setExtraBytes(null);
    }
  }

  /**
   * Lets requests on a connection begin before earlier ones have been answered.
   *
   * @param maximumHoldTime how long the server may be kept from reading the next request
   * @param server lets the server handle the request in a lane
   */
  void installPipeline(
      StreamConnection connection, Duration maximumHoldTime, Consumer<PipelineLane> server) {
    DisconnectDetectingConduit.installPipeline(
        connection,
        (head, onChanged) -> openLane(connection, head, onChanged, server),
        maximumHoldTime,
        clock);
  }

  /** Opens a lane. Returns empty if too many are open. */
  private Optional<PipelineLane> openLane(
      StreamConnection connection,
      ByteBuffer head,
      Runnable onChanged,
      Consumer<PipelineLane> server) {
    Optional<Runnable> place = pipelineGate.tryEnter();
    if (place.isEmpty() || heap.isExceeded()) {
      place.ifPresent(Runnable::run);
      return Optional.empty();
    }
    PipelineLane lane =
        new PipelineLane(
            connection, head, new ConnectionAccount(heap, buffers), onChanged, place.get());
    DisconnectDetectingConduit.install(lane);
    server.accept(lane);
    return Optional.of(lane);
  }

  /** Refuses a request, and closes its connection, which may hold more than the request. */
  private void refuse(HttpServerExchange exchange, HttpHandler refusal) throws Exception {
    RequestHeads.discardParameters(exchange);
    discardUnread(exchange);
    exchange.setPersistent(false);
    refusedRequestCount.incrementAndGet();
    log.write("request-refused", "", lineOf(clientOf(exchange)).with("cause", "memory"));
    refusal.handleRequest(exchange);
  }

  /** The connection is closed, so that nobody reads what has arrived behind the head. */
  private static void discardUnread(HttpServerExchange exchange) {
    if (exchange.getConnection() instanceof AbstractServerConnection connection) {
      Optional.ofNullable(connection.getExtraBytes()).ifPresent(PooledByteBuffer::close);
      connection.setExtraBytes(null);
    }
  }

  private static Optional<ByteBuffer> parsedOfNext(HttpServerExchange exchange) {
    return exchange.getConnection() instanceof AbstractServerConnection connection
        ? Optional.ofNullable(connection.getExtraBytes()).map(PooledByteBuffer::getBuffer)
        : Optional.empty();
  }

  private static boolean hasReadAhead(HttpServerExchange exchange) {
    return DisconnectDetectingConduit.of(exchange)
        .filter(DisconnectDetectingConduit::hasBuffered)
        .isPresent();
  }

  private static Optional<InetSocketAddress> clientOf(HttpServerExchange exchange) {
    return Optional.ofNullable(exchange.getConnection().getPeerAddress(InetSocketAddress.class));
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

  /** Returns how many requests have been refused because too much was held. */
  public long refusedRequestCount() {
    return refusedRequestCount.get();
  }

  /** Returns the number of pipelined requests that wait for their turn. */
  public int waitingPipelinedCount() {
    return pipelineGate.waitingCount();
  }
}
